#include "base64.hpp"

#include <sodium.h>

namespace oleanderwick::store
{

std::string toBase64(std::string_view bytes)
{
    std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(), sodium_base64_VARIANT_ORIGINAL);
    text.pop_back();
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    std::string bytes(text.size(), '\0');
    std::size_t length = 0;
    const char *end = nullptr;
    unsigned char *data = reinterpret_cast<unsigned char *>(bytes.data());
    const int failed = sodium_base642bin(data, bytes.size(), text.data(), text.size(), nullptr, &length, &end, sodium_base64_VARIANT_ORIGINAL);
    if (failed != 0 || end != text.data() + text.size()) {
        return std::nullopt;
    }
    bytes.resize(length);
    return bytes;
}

std::string prefixEnd(std::string prefix)
{
    while (!prefix.empty()) {
        const unsigned char last = static_cast<unsigned char>(prefix.back());
        if (last < 0xFFU) {
            prefix.back() = static_cast<char>(last + 1);
            return prefix;
        }
        prefix.pop_back();
    }
    return std::string(1, '\0');
}

} // namespace oleanderwick::store
