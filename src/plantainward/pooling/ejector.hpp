#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace plantainward::pooling
{

/// Ejects databases of one service that fail in this host's own traffic, so
/// that they get no reads for some time.
///
/// Never ejects more than a third of the databases. Failures count only while
/// another database of the service answers: trouble at all of them is taken for
/// trouble of this host.
class ejector
{
public:
    /// A database has run a statement.
    void record_success(const std::string& database, core::boot_instant now);

    /// A database failed, refused or did not answer; returns the time of the
    /// ejection if this ejects it. `database_count` is the number of the
    /// service's databases.
    std::optional<core::millis> record_failure(const std::string& database,
                                               std::size_t database_count,
                                               core::boot_instant now);

    bool is_ejected(const std::string& database, core::boot_instant now) const;

    /// Number of databases that are ejected.
    std::size_t count(core::boot_instant now) const;

    /// Forgets a database that is no longer registered.
    void erase(const std::string& database) { m_records.erase(database); }

private:
    struct record
    {
        std::size_t failures_in_row{0};
        core::boot_instant succeeded_at{};
        core::boot_instant ejected_until{};
        core::millis last_time{0};
    };

    bool has_other_answer(const std::string& database,
                          core::boot_instant now) const;

    std::map<std::string, record> m_records;
};

} // namespace plantainward::pooling
