#include "keys.hpp"

#include <array>

#include <sodium.h>

namespace oleanderwick::config
{

namespace internal
{

constexpr std::size_t randomByteCount = 32;
constexpr std::size_t maxKeyLength = 256;

template <std::size_t Size>
std::string toHex(const std::array<unsigned char, Size> &bytes)
{
    std::string hex(Size * 2 + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
    hex.pop_back();
    return hex;
}

} // namespace internal

std::optional<PresentedKey> parseKey(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (text.size() > internal::maxKeyLength || dot == std::string_view::npos || dot == 0 || dot + 1 == text.size()) {
        return std::nullopt;
    }
    return PresentedKey{core::KeyId{std::string{text.substr(0, dot)}}, std::string{text.substr(dot + 1)}};
}

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char *>(text.data()), text.size());
    return internal::toHex(digest);
}

bool matchesHash(std::string_view secret, std::string_view hash)
{
    const std::string digest = sha256Hex(secret);
    return digest.size() == hash.size() && sodium_memcmp(digest.data(), hash.data(), digest.size()) == 0;
}

std::string randomHex()
{
    std::array<unsigned char, internal::randomByteCount> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return internal::toHex(bytes);
}

} // namespace oleanderwick::config
