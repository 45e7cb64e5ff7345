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

/// What a host believes of one service.
struct service_news
{
    succession::leadership leadership;
    /// The host gets no answer from the primary.
    bool doubts_primary{false};
    /// Newest mark, with its age when the heartbeat was made; negative: none.
    upstream::log_point mark;
    std::int32_t mark_age_ms{-1};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(leadership, doubts_primary, mark, mark_age_ms);
    }
};

/// A periodic datagram from one host to another.
struct heartbeat
{
    std::string host;
    std::uint64_t incarnation{0};
    std::uint64_t sequence{0};
    /// Incarnation and last sequence that the sender got from the receiver.
    std::uint64_t echo_incarnation{0};
    std::uint64_t echo_sequence{0};
    /// The sender has read the shared records since its start, so that it
    /// knows of every claim made before.
    bool knows_records{false};
    std::uint64_t routing_version{0};
    /// By service.
    std::map<std::string, service_news> services;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(host, incarnation, sequence, echo_incarnation, echo_sequence,
                knows_records, routing_version, services);
    }
};

/// Bytes of a heartbeat.
std::string encode(const heartbeat& one);

/// Empty optional with a reason when the bytes are not a heartbeat.
std::optional<heartbeat> decode_heartbeat(std::string_view bytes);

} // namespace plantainward::fleet
