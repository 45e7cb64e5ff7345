#include <plantainward/pooling/ejector.hpp>

#include <algorithm>

namespace plantainward::pooling
{

namespace
{

// Failures in a row that eject a database. A single lost connection breaks a
// few statements at most.
constexpr std::size_t min_failures = 5;

// The same for a database that has returned and has not run a statement since.
constexpr std::size_t min_failures_after_return = 2;

// Length of the first ejection; doubled when the database has run nothing since
// the last one.
constexpr core::millis first_time{1000};
constexpr core::millis max_time{16'000};

// An answer of another database within this time shows that this host is not
// the cause.
constexpr core::millis answer_time{1000};

// A third of the databases may be ejected.
constexpr std::size_t max_ejected_divisor = 3;

} // namespace

void ejector::record_success(const std::string& database,
                             core::boot_instant now)
{
    m_records[database] = {0, now, {}, core::millis(0)};
}

bool ejector::has_other_answer(const std::string& database,
                               core::boot_instant now) const
{
    return std::any_of(
        m_records.begin(), m_records.end(), [&](const auto& entry) {
            return entry.first != database &&
                   entry.second.failures_in_row == 0 &&
                   now - entry.second.succeeded_at <= answer_time;
        });
}

std::optional<core::millis> ejector::record_failure(const std::string& database,
                                                    std::size_t database_count,
                                                    core::boot_instant now)
{
    auto& failing = m_records[database];
    // Late failures of statements that were sent before the ejection.
    if (now < failing.ejected_until)
        return std::nullopt;
    ++failing.failures_in_row;
    const bool has_returned = failing.last_time > core::millis(0);
    const auto limit = has_returned ? min_failures_after_return : min_failures;
    if (failing.failures_in_row < limit || !has_other_answer(database, now) ||
        (count(now) + 1) * max_ejected_divisor > database_count)
        return std::nullopt;
    failing.failures_in_row = 0;
    failing.last_time = std::clamp(failing.last_time * 2, first_time, max_time);
    failing.ejected_until = now + failing.last_time;
    return failing.last_time;
}

bool ejector::is_ejected(const std::string& database,
                         core::boot_instant now) const
{
    const auto found = m_records.find(database);
    return found != m_records.end() && now < found->second.ejected_until;
}

std::size_t ejector::count(core::boot_instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_records.begin(), m_records.end(),
        [&](const auto& entry) { return now < entry.second.ejected_until; }));
}

} // namespace plantainward::pooling
