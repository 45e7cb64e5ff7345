#pragma once

// Includes the cereal headers that the members of `route` need.
#include <plantainward/core/archive.hpp>
#include <plantainward/routes/routing.hpp>

#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>

namespace plantainward::routes
{

template <class Archive>
void serialize(Archive& archive, route& route)
{
    archive(route.database, route.service, route.consistency, route.timeout,
            route.target_latency, route.priority, route.max_age,
            route.is_public);
}

} // namespace plantainward::routes
