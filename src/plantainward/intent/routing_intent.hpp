#pragma once

#include <plantainward/core/time.hpp>
#include <plantainward/intent/merged_intent.hpp>
#include <plantainward/upstream/service_layout.hpp>

#include <optional>
#include <string>
#include <vector>

namespace plantainward::intent
{

/// What the operators want of one service.
struct service_intent
{
    upstream::service_layout layout;
    /// Greatest age of data that a read may ask for.
    core::millis max_age{2000};

    bool operator==(const service_intent&) const = default;
};

/// What the operators want of the whole system.
struct routing_intent
{
    std::vector<service_intent> services;

    /// The service with this name, or null.
    const service_intent* find(const std::string& name) const;
};

/// The typed intent; empty when there are issues, which are added.
std::optional<routing_intent> interpret(const merged_intent& from,
                                        std::vector<issue>& issues);

/// Merges and interprets a bundle; all issues are in `issues`.
std::optional<routing_intent> check(const bundle& files,
                                    std::vector<issue>& issues);

} // namespace plantainward::intent
