#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::core
{

/// SHA-256 of the bytes, as 64 hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

/// HMAC-SHA-256 of the bytes under a key, as 32 raw bytes.
std::string hmac_sha256(std::string_view key, std::string_view bytes);

/// Whether two byte strings are equal; the time depends only on their lengths.
bool equal_in_constant_time(std::string_view left, std::string_view right);

/// Encodes bytes as base64 in the URL-safe alphabet, without padding.
std::string base64url_encode(std::string_view bytes);

/// Decodes what `base64url_encode` returns; empty optional when malformed.
std::optional<std::string> base64url_decode(std::string_view text);

/// A fast hash of two strings for placement; not cryptographic.
std::uint64_t placement_hash(std::string_view left, std::string_view right);

} // namespace plantainward::core
