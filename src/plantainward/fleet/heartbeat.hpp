#pragma once

#include <plantainward/succession/leadership.hpp>
#include <plantainward/upstream/log_point.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainward::fleet
{

/// Short hash of a service's name, used in heartbeats.
using service_key = std::uint32_t;

service_key key_of(std::string_view service);

/// The state of one service as the sender of a heartbeat sees it.
struct service_status
{
    /// Version of the newest record of the primary that the host knows.
    std::uint64_t record_version{0};
    /// That record, for a receiver that knows an older one; empty otherwise.
    std::optional<succession::leadership> record;
    /// The host has its own connection to the primary, so it would notice that
    /// the primary no longer answers.
    bool watches_primary{true};
    /// The host gets no answer from the primary.
    bool suspects_primary{false};
    /// The host cannot replace the primary: its last write of the record got
    /// no answer, so its claim makes no progress, or it starts no claim because
    /// it is stopping or its tables are old.
    bool cannot_write{false};
    /// Newest watermark, and its age when the heartbeat was made; a negative
    /// age: none.
    upstream::log_point watermark;
    std::int16_t watermark_age_ms{-1};
    /// Age of the sender's proof that the record is current, when the heartbeat
    /// was made; negative: none.
    std::int16_t proof_age_ms{-1};
    /// Statements that the sender has in flight at each database of the
    /// service, in the order of the databases' ids; at most 255 each. Only
    /// between hosts that hold the connections of the service, and empty for
    /// services with too many databases.
    std::vector<std::uint8_t> in_flight;
};

/// Maximal number of databases of a service whose load a heartbeat reports.
inline constexpr std::size_t max_reported_databases = 8;

/// A periodic datagram from one host to another.
struct heartbeat
{
    std::string host;
    /// Identifies the start of the sender; grows with each start.
    std::uint64_t incarnation{0};
    std::uint32_t sequence{0};
    /// Incarnation and sequence of the last heartbeat that the sender received
    /// from the receiver; 0: none.
    std::uint64_t echo_incarnation{0};
    std::uint32_t echo_sequence{0};
    /// The sender has read the shared records since its start, so it knows
    /// every claim that was made before it read them.
    bool knows_records{false};
    /// The sender has read them so lately that no change of the voters without
    /// its knowledge is in force.
    bool has_read_lately{false};
    /// The sender confirms records together with all other voters although it
    /// may not have read them lately.
    bool confirms_with_all{false};
    /// Version of the voter set that the sender read together with the records;
    /// 0: none.
    std::uint64_t voters_version{0};
    std::uint64_t routing_version{0};
    /// Version of the list of databases.
    std::uint64_t upstreams_version{0};
    /// Age of the sender's proof that no routing is newer than
    /// `routing_version`, when the heartbeat was made; negative: none.
    std::int16_t routing_proof_age_ms{-1};
    /// Era of the table service in which the proof was read; unused without
    /// one.
    std::uint64_t routing_proof_era{0};
    std::map<service_key, service_status> services;
};

/// Encodes a heartbeat for a datagram. Longer names are cut, and services
/// beyond the maximal number are left out.
std::string encode(const heartbeat& message);

/// Decodes a heartbeat; an empty optional with an error when the bytes are not
/// a heartbeat of this format.
std::optional<heartbeat> decode_heartbeat(std::string_view bytes);

} // namespace plantainward::fleet
