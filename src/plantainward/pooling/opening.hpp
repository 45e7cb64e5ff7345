#pragma once

#include <plantainward/core/enum_names.hpp>

#include <cstdint>
#include <functional>
#include <string_view>

namespace plantainward::pooling
{

/// Why a connection is opened.
enum class opening_cause : std::uint8_t
{
    /// To see whether the database answers.
    probe,
    /// The workspace has no connection to the database, and there is room.
    first_of_workspace,
    /// All connections of the workspace are in use, and there is room.
    all_in_use,
    /// As one of the two above, and an idle connection of another workspace was
    /// closed to make room.
    eviction
};

/// Names of the causes in metrics.
inline constexpr core::enum_names<opening_cause, 4> opening_cause_names{
    {"probe", "first_of_workspace", "all_in_use", "eviction"}};

/// Receives the cause of each opening, with the service; must not block.
using opening_observer =
    std::function<void(std::string_view service, opening_cause cause)>;

} // namespace plantainward::pooling
