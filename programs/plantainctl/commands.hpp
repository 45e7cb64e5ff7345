#pragma once

#include "context.hpp"

#include <string>

namespace plantainctl
{

/// Exit codes of the process.
enum exit_code : int
{
    exit_ok = 0,
    exit_failed = 1,
    exit_usage = 2,
    /// Another operator's revision came first.
    exit_conflict = 3
};

/// Checks the intent files of a folder and prints the issues.
int run_check(const context& target, const std::string& folder);

/// Prints the values that applying a folder would change.
int run_diff(const context& target, const std::string& folder);

/// Writes a folder as the successor of a revision (the current one when empty)
/// and sends the result to the given proxies. exit_conflict when the current
/// revision is another one by then.
int run_apply(const context& target, const std::string& folder,
              std::optional<std::uint64_t> on_revision);

/// Prints every value in force with the file and line that set it.
int run_show(const context& target);

/// Prints for each given proxy its revision, and the coordinators, watchers and
/// slots of the services.
int run_status(const context& target);

/// Prints the events of the given proxies, oldest first. `about` is the id of a
/// request, a service, a host or a kind of event.
int run_explain(const context& target, const std::string& about);

/// Starts the graceful shutdown of the given proxies.
int run_drain(const context& target);

} // namespace plantainctl
