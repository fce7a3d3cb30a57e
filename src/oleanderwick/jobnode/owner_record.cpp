#include "owner_record.hpp"

#include <charconv>

#include <absl/strings/str_cat.h>

namespace oleanderwick::jobnode
{

namespace internal
{

/** Parses a number that is all of the text. */
bool parseLease(std::string_view text, std::int64_t &lease)
{
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), lease);
    return result.ec == std::errc{} && result.ptr == text.data() + text.size();
}

} // namespace internal

std::string toText(const OwnerRecord &record)
{
    const std::string text = absl::StrCat(record.name, "/", record.lease);
    return record.address.empty() ? text : absl::StrCat(text, "/", record.address);
}

OwnerRecord ownerFromText(std::string_view text)
{
    OwnerRecord record;
    const auto split = [&text] {
        const std::size_t slash = text.rfind('/');
        const std::string_view last = slash == std::string_view::npos ? std::string_view{} : text.substr(slash + 1);
        text = text.substr(0, slash);
        return last;
    };
    std::string_view last = split();
    // A lease is a number, an address never is.
    if (!internal::parseLease(last, record.lease)) {
        const std::string_view address = last;
        last = split();
        if (internal::parseLease(last, record.lease)) {
            record.address = address;
        }
    }
    record.name = text;
    return record;
}

} // namespace oleanderwick::jobnode
