#pragma once

#include <plantainward/core/host.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainward::membership
{

/// State of a host as its peers believe it.
///
/// Of two updates with the same incarnation, the one whose state comes later
/// in this order takes precedence.
enum class member_state : std::uint8_t
{
    alive,
    suspected,
    left,
    dead
};

/// The state of one host, as members pass it on to each other.
struct member_update
{
    core::host host;
    /// Increases with each start of the host and each refuted suspicion.
    std::uint64_t incarnation{0};
    member_state state{member_state::alive};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, incarnation, state);
    }
};

/// Purpose of a datagram.
enum class message_kind : std::uint8_t
{
    ping,
    ack,
    /// Asks the receiver to ping a third host.
    ping_request,
    /// Carries an application payload and needs no ack.
    notice
};

/// One datagram between two proxies.
struct message
{
    message_kind kind{message_kind::ping};
    std::uint64_t sequence{0};
    member_update sender;
    /// Host to ping; set in a `ping_request` only.
    core::host target;
    /// Revision of the configuration that the sender has in force.
    std::uint64_t revision{0};
    std::vector<member_update> updates;
    /// Application payload; set in a `notice` only.
    std::string payload;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, sequence, sender, target, revision, updates, payload);
    }
};

/// Largest datagram that is sent or accepted, in bytes.
inline constexpr std::size_t max_datagram_bytes = 1400;

/// Encodes and decodes datagrams, which a shared key authenticates.
class message_codec
{
public:
    explicit message_codec(std::string key) : m_key(std::move(key)) {}

    std::string encode(const message& datagram) const;

    /// Empty optional with an error for a datagram of another version, of a
    /// wrong size, damaged, or made with another key.
    std::optional<message> decode(std::string_view bytes) const;

private:
    std::string m_key;
};

} // namespace plantainward::membership
