#pragma once

#include <optional>
#include <string>
#include <vector>

namespace bench
{

/// Size and delays of a fleet.
struct shape
{
    std::string name;
    std::vector<std::string> failure_domains;
    std::string service_prefix;
    int services{3};
    int proxies{16};
    int slots{3};
    int connections{50};
    /// Delay of each answer of a database, in milliseconds; stands for the
    /// way between failure domains, there and back.
    int database_delay_ms{1};
    int lag_ms{0};
    /// Flags of the proxies beyond their addresses.
    std::vector<std::string> proxy_flags;
};

/// The shape with this name, if there is one.
std::optional<shape> shape_named(const std::string& name);

} // namespace bench
