#pragma once

#include <plantainward/core/archive.hpp>
#include <plantainward/core/digest.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::relay::internal
{

inline constexpr std::size_t digest_bytes = sizeof(std::uint64_t);

/// Digest of a message's body, lowest byte first.
inline std::string digest_of(std::string_view bytes)
{
    auto hash = core::placement_hash("relay message", bytes);
    std::string digest;
    for (std::size_t i = 0; i < digest_bytes; ++i, hash >>= 8U)
        digest += static_cast<char>(hash & 0xFFU);
    return digest;
}

/// Encodes a message with cereal and puts its digest in front. Without it the
/// decoder would reserve memory without bound for a damaged length.
template <class Message>
std::string encode_with_digest(const Message& message)
{
    const auto bytes = core::to_bytes(message);
    return digest_of(bytes) + bytes;
}

/// Checks the digest and decodes the message; empty optional with a reason when
/// it is damaged.
template <class Message>
std::optional<Message> decode_with_digest(std::string_view bytes,
                                          const char* message_name)
{
    const auto body = bytes.substr(std::min(bytes.size(), digest_bytes));
    if (bytes.substr(0, digest_bytes) != digest_of(body))
        return core::fail(core::error_kind::bad_request,
                          std::string("damaged ") + message_name);
    return core::from_bytes<Message>(body, message_name);
}

} // namespace plantainward::relay::internal
