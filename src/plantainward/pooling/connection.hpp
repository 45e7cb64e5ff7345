#pragma once

#include <plantainward/core/boot_clock.hpp>
#include <plantainward/core/enum_names.hpp>
#include <plantainward/pooling/action.hpp>
#include <plantainward/pooling/session_state.hpp>
#include <plantainward/upstream/log_point.hpp>

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace plantainward::pooling
{

/// State of a connection to a database.
enum class connection_stage : std::uint8_t
{
    opening,
    idle,
    /// Session values, prepared statements or a transaction are being set up.
    preparing,
    running,
    /// A transaction is open and no statement of it is running.
    pinned,
    /// Ends a transaction before other sessions may use the connection.
    rolling_back,
    /// Waits for the answer to a command that only tests whether the database
    /// answers.
    probing
};

/// Names of the stages in logs.
inline constexpr core::enum_names<connection_stage, 7> connection_stage_names{
    {"opening", "idle", "preparing", "running", "pinned", "rolling_back",
     "probing"}};

/// State that the pooler keeps of one connection to a database.
struct connection
{
    connection_id id{0};
    std::string upstream;
    /// Workspace under which it was opened; it runs only statements of this
    /// one. Empty: none.
    std::string workspace{};
    connection_stage stage{connection_stage::opening};
    /// Session that uses the connection; 0 when there is none.
    session_id user{0};
    /// Session values that the database holds for this connection, as far as
    /// its answers have confirmed them.
    session_values values;
    /// Names of the prepared statements that the database holds for this
    /// connection, see `shared_name`; confirmed like the values.
    std::set<std::string> prepared;
    /// The proxy's own commands that were sent and not yet answered, in the
    /// order in which they were sent.
    std::vector<sql::command> unconfirmed;
    /// End of the log that the database has last reported on this connection.
    std::optional<upstream::log_point> position;
    /// The database has begun a transaction that may write, so it leads.
    bool has_led{false};
    /// Every answer told whether its command took effect. Without it the values
    /// are not known, and the connection must be closed.
    bool is_state_known{true};
    /// Commands that were sent and not yet answered.
    std::size_t unanswered{0};
    /// First refusal among the commands of stage `preparing`.
    std::optional<sql::refusal> setup_error;
    /// When the current commands were sent, or the connection was opened.
    core::boot_instant sent_at{};
    /// Statements on other connections that were sent later than the commands
    /// of this connection and answered before them.
    std::size_t overtaken{0};
    core::boot_instant last_used{};

    /// Whether the process at the other end has a log, or leads. One that has
    /// started again with nothing, under the id of the primary, does neither;
    /// the connection can't lead to another process later.
    bool shows_log() const
    {
        return has_led || (position && position->position > 0);
    }
};

} // namespace plantainward::pooling
