#include <plantainward/core/digest.hpp>

#include <array>
#include <cstdint>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace plantainward::core
{

namespace
{

const unsigned char* bytes_of(std::string_view text)
{
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(bytes_of(bytes), bytes.size(), digest.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(digest.size() * 2);
    for (const auto byte : digest)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::string hmac_sha256(std::string_view key, std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         bytes_of(bytes), bytes.size(), digest.data(), &length);
    return {reinterpret_cast<const char*>(digest.data()), length};
}

bool equal_in_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string base64url_encode(std::string_view bytes)
{
    std::string text(((bytes.size() + 2) / 3) * 4 + 1, '\0');
    const int written =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        bytes_of(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(written));
    while (!text.empty() && text.back() == '=')
        text.pop_back();
    for (auto& c : text)
        c = c == '+' ? '-' : c == '/' ? '_' : c;
    return text;
}

std::optional<std::string> base64url_decode(std::string_view text)
{
    std::string padded(text);
    for (auto& c : padded)
    {
        if (c == '+' || c == '/' || c == '=')
            return std::nullopt;
        c = c == '-' ? '+' : c == '_' ? '/' : c;
    }
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    if (padding == 3)
        return std::nullopt;
    padded.append(padding, '=');
    std::string bytes(padded.size() / 4 * 3, '\0');
    const int size =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        bytes_of(padded), static_cast<int>(padded.size()));
    if (size < 0)
        return std::nullopt;
    bytes.resize(static_cast<std::size_t>(size) - padding);
    // Rejects a text whose last character has unused bits that are not zero.
    if (base64url_encode(bytes) != text)
        return std::nullopt;
    return bytes;
}

std::uint64_t placement_hash(std::string_view left, std::string_view right)
{
    const XXH64_hash_t seed = XXH64(left.data(), left.size(), 0);
    return XXH64(right.data(), right.size(), seed);
}

} // namespace plantainward::core
