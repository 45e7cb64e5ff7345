#pragma once

#include <optional>
#include <string>
#include <vector>

namespace bench
{

/// Size, delays and settings of a fleet.
struct shape
{
    std::string name;
    std::vector<std::string> failure_domains;
    std::string service_prefix;
    /// Services; each has three databases.
    int services{3};
    int proxies{16};
    /// Slots of each service.
    int slots{3};
    /// Connection limit of each database.
    int connections{50};
    /// Delay of each answer of a database, in milliseconds; simulates the round
    /// trip between failure domains.
    int database_delay_ms{1};
    /// Replication lag of each database, in milliseconds.
    int lag_ms{0};
    /// Further flags of the proxies.
    std::vector<std::string> proxy_flags;
};

/// The shape called `sialkot` or `flanders`; empty for other names.
std::optional<shape> shape_named(const std::string& name);

} // namespace bench
