#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/intent/merged_intent.hpp>
#include <plantainward/upstream/service_layout.hpp>

#include <optional>
#include <string>
#include <vector>

namespace plantainward::intent
{

/// The configuration of one service that the operators have set.
struct service_intent
{
    upstream::service_layout layout;
    /// Largest age of data that a read may allow.
    core::millis max_age{2000};

    bool operator==(const service_intent&) const = default;
};

/// The configuration of all services that the operators have set.
struct routing_intent
{
    std::vector<service_intent> services;

    /// The service with this name, or null.
    const service_intent* find(const std::string& name) const;
};

/// The typed intent; empty optional when there are issues, which are appended.
std::optional<routing_intent> interpret(const merged_intent& merged,
                                        std::vector<issue>& issues);

/// Merges and interprets a bundle; empty optional when there are issues, which
/// are appended.
std::optional<routing_intent> check(const bundle& files,
                                    std::vector<issue>& issues);

} // namespace plantainward::intent
