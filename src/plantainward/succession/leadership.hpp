#pragma once

#include <plantainward/core/enum_names.hpp>
#include <plantainward/upstream/log_point.hpp>

#include <cstdint>
#include <string>

namespace plantainward::succession
{

/// What the shared record of a service's primary says.
enum class leadership_phase : std::uint8_t
{
    /// The named database is the primary.
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
    /// 0: nothing is known.
    std::uint64_t version{0};
    leadership_phase phase{leadership_phase::claimed};
    /// Id of the primary, or of the database that is to become it.
    std::string primary;
    /// Start of that database; a restarted one is another.
    std::uint64_t started_at_ms{0};
    /// Host that wrote the record.
    std::string writer;
    /// The term that a settled primary leads; of a database that is being
    /// promoted, its term before. 0: not known.
    upstream::term_number term{0};
    /// A promotion may have been asked for since the record was settled last,
    /// of this database or of an earlier one.
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
