#pragma once

#include <plantainward/succession/leadership.hpp>
#include <plantainward/upstream/log_point.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::fleet
{

/// Names a service in heartbeats in few bytes.
using service_key = std::uint32_t;

/// The key of a service's name.
service_key key_of(std::string_view service);

/// What a host believes of one service.
struct service_news
{
    /// Version of the record of the primary that the host knows.
    std::uint64_t record_version{0};
    /// The record itself, for a peer that knows an older one.
    std::optional<succession::leadership> record;
    /// The host has a connection of its own to the primary, and would notice
    /// its silence.
    bool watches_primary{true};
    /// The host gets no answer from the primary.
    bool suspects_primary{false};
    /// The host's last write of the record had no answer, so that a claim of
    /// its own does not go on, or it starts none: it is stopping, or the tables
    /// that it knows are old.
    bool cannot_write{false};
    /// Newest mark, with its age when the heartbeat was made; negative: none.
    upstream::log_point mark;
    std::int16_t mark_age_ms{-1};
    /// Age of the sender's proof that the record is current; negative: none.
    std::int16_t proof_age_ms{-1};
};

/// A periodic datagram from one host to another.
struct heartbeat
{
    std::string host;
    std::uint64_t incarnation{0};
    std::uint32_t sequence{0};
    /// Incarnation and last sequence that the sender got from the receiver.
    std::uint64_t echo_incarnation{0};
    std::uint32_t echo_sequence{0};
    /// The sender has read the shared records since its start, so that it
    /// knows of every claim made before.
    bool knows_records{false};
    std::uint64_t routing_version{0};
    /// Version of the list of databases.
    std::uint64_t upstreams_version{0};
    std::map<service_key, service_news> services;
};

/// Bytes of a heartbeat.
std::string encode(const heartbeat& one);

/// Empty optional with a reason when the bytes are not a heartbeat.
std::optional<heartbeat> decode_heartbeat(std::string_view bytes);

} // namespace plantainward::fleet
