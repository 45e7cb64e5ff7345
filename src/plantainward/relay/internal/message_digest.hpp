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

inline std::string digest_of(std::string_view bytes)
{
    auto hash = core::placement_hash("relay message", bytes);
    std::string made;
    for (std::size_t i = 0; i < digest_bytes; ++i, hash >>= 8U)
        made += static_cast<char>(hash & 0xFFU);
    return made;
}

/// The cereal form of a message behind its hash: a damaged length would make
/// the decoder reserve memory without bound.
template <class Message>
std::string seal(const Message& one)
{
    const auto bytes = core::to_bytes(one);
    return digest_of(bytes) + bytes;
}

/// The message behind its hash; empty optional with a reason when damaged.
template <class Message>
std::optional<Message> unseal(std::string_view bytes, const char* what)
{
    const auto body = bytes.substr(std::min(bytes.size(), digest_bytes));
    if (bytes.substr(0, digest_bytes) != digest_of(body))
        return core::fail(core::error_kind::bad_request,
                          std::string("damaged ") + what);
    return core::from_bytes<Message>(body, what);
}

} // namespace plantainward::relay::internal
