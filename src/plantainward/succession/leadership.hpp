#pragma once

#include <plantainward/core/enum_names.hpp>
#include <plantainward/upstream/log_point.hpp>

#include <cstdint>
#include <string>

namespace plantainward::succession
{

/// Whether the recorded primary may be used.
enum class leadership_phase : std::uint8_t
{
    /// The recorded database is the primary.
    settled,
    /// A host is replacing the primary; nobody may use one.
    claimed
};

/// Names of the phases in logs.
inline constexpr core::enum_names<leadership_phase, 2> phase_names{
    {"settled", "claimed"}};

/// The shared record of a service's primary, kept in the table service.
///
/// Its version grows with each change and orders the records of a service.
struct leadership
{
    /// 0: no record is known.
    std::uint64_t version{0};
    leadership_phase phase{leadership_phase::claimed};
    /// Id of the primary, or of the database that is being promoted.
    std::string primary;
    /// Start time of that database in milliseconds; a restarted database has
    /// another one and counts as another database.
    std::uint64_t started_at_ms{0};
    /// Host that wrote the record.
    std::string writer;
    /// The term in which a settled primary leads; for a database that is being
    /// promoted, its term before the promotion. 0: not known.
    upstream::term_number term{0};
    /// A promotion of this database or of an earlier one may have been called
    /// for since the record was last settled.
    bool promoting{false};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(version, phase, primary, started_at_ms, writer, term,
                promoting);
    }

    bool operator==(const leadership&) const = default; // NOLINT
};

} // namespace plantainward::succession
