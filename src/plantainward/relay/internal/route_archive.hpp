#pragma once

// The types below need what this header includes of cereal.
#include <plantainward/core/archive.hpp>
#include <plantainward/routes/routing.hpp>

#include <cereal/types/chrono.hpp>
#include <cereal/types/string.hpp>

namespace plantainward::routes
{

template <class Archive>
void serialize(Archive& archive, route& one)
{
    archive(one.database, one.service, one.consistency, one.timeout,
            one.target_latency, one.priority, one.max_age);
}

} // namespace plantainward::routes
