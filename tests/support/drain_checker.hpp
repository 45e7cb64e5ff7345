#pragma once

#include <support/promotion_checker.hpp>

#include <map>
#include <optional>
#include <string>

namespace support
{

/// Checks that no new work reaches a database long after it has announced that
/// it leaves.
class drain_checker
{
public:
    using instant = plantainward::core::boot_instant;
    using millis = plantainward::core::millis;

    /// The users' bound for the small deployments.
    static constexpr millis drain_bound{7000};
    /// Only hosts without a disturbance within this time are judged.
    static constexpr millis contact_span{4000};

    /// Notes that the store has accepted a database's announcement.
    void on_leaving(const std::string& database, instant now)
    {
        m_leaving_since.try_emplace(database, now);
    }
    /// Notes that a new database runs under the id.
    void on_replaced(const std::string& database)
    {
        m_leaving_since.erase(database);
    }

    /// Checks a statement outside a transaction, or the first of one, that a
    /// host has sent; returns a fault if it is too late.
    std::optional<std::string> on_request(const std::string& host,
                                          const std::string& database,
                                          const promotion_checker& disturbances,
                                          instant now) const
    {
        const auto found = m_leaving_since.find(database);
        if (found == m_leaving_since.end() ||
            now - found->second <= drain_bound ||
            !disturbances.was_undisturbed(host, now - contact_span))
            return std::nullopt;
        return "a request of " + host + " reached " + database + " " +
               std::to_string(plantainward::core::to_ms(now - found->second)) +
               " ms after its announcement that it leaves";
    }

private:
    std::map<std::string, instant> m_leaving_since;
};

} // namespace support
