#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/enum_names.hpp>
#include <plantainward/pooling/action.hpp>
#include <plantainward/pooling/session_state.hpp>

#include <cstddef>
#include <set>
#include <string>

namespace plantainward::pooling
{

/// What a connection to a database is doing.
enum class connection_stage : std::uint8_t
{
    opening,
    idle,
    /// Session values, prepared statements or a transaction are being set up.
    preparing,
    running,
    /// A transaction is open and its caller is thinking.
    pinned,
    /// Ends a transaction before others may use the connection.
    rolling_back,
    /// Answers a question whose only purpose is to see whether it answers.
    probing
};

/// Names of the stages in logs.
inline constexpr core::enum_names<connection_stage, 7> connection_stage_names{
    {"opening", "idle", "preparing", "running", "pinned", "rolling_back",
     "probing"}};

/// One connection to a database, as the decisions see it.
struct connection
{
    connection_id id{0};
    std::string upstream;
    connection_stage stage{connection_stage::opening};
    /// Session that uses the connection; 0: none.
    session_id user{0};
    /// Values that the database holds for this connection.
    session_values values;
    /// Prepared statements under the proxy's names.
    std::set<std::string> prepared;
    /// Answers that are still to come.
    std::size_t unanswered{0};
    /// One of the commands of the present stage failed.
    std::optional<sql::refusal> setup_error;
    core::boot_instant sent_at{};
    /// Statements that were sent after the present one and answered before it.
    std::size_t overtaken{0};
    core::boot_instant last_used{};
};

} // namespace plantainward::pooling
