#include "message.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

namespace oleanderwick::http
{

namespace internal
{

constexpr std::array<absl::string_view, 9> hopByHop{
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
};

} // namespace internal

const std::string *findHeader(const std::vector<Header> &headers, std::string_view name)
{
    const absl::string_view wanted{name.data(), name.size()};
    const auto found = std::find_if(headers.begin(), headers.end(), [wanted](const Header &header) {
        return absl::EqualsIgnoreCase(header.name, wanted);
    });
    return found == headers.end() ? nullptr : &found->value;
}

void removeHopByHop(std::vector<Header> &headers)
{
    std::vector<std::string> named;
    for (const Header &header : headers) {
        if (!absl::EqualsIgnoreCase(header.name, "connection")) {
            continue;
        }
        for (const absl::string_view part : absl::StrSplit(header.value, ',')) {
            named.emplace_back(absl::StripAsciiWhitespace(part));
        }
    }
    std::erase_if(headers, [&named](const Header &header) {
        const auto same = [&header](absl::string_view name) {
            return absl::EqualsIgnoreCase(header.name, name);
        };
        return std::any_of(internal::hopByHop.begin(), internal::hopByHop.end(), same) || std::any_of(named.begin(), named.end(), same);
    });
}

absl::StatusOr<Endpoint> parseEndpoint(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    std::uint16_t port = 0;
    if (colon != std::string::npos) {
        const char *end = text.data() + text.size();
        const std::from_chars_result result = std::from_chars(text.data() + colon + 1, end, port);
        if (result.ec == std::errc{} && result.ptr == end && colon > 0) {
            return Endpoint{text.substr(0, colon), port};
        }
    }
    return absl::InvalidArgumentError(absl::StrCat("'", text, "' is not an IP address and a port"));
}

} // namespace oleanderwick::http
