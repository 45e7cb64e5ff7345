#pragma once

#include "context.hpp"

#include <string>

namespace plantainctl
{

/// Exit codes of the commands.
enum exit_code : int
{
    exit_ok = 0,
    exit_failed = 1,
    exit_usage = 2,
    /// Another operator's revision came first.
    exit_conflict = 3
};

/// Checks a folder.
int run_check(const context& where, const std::string& folder);

/// Shows what a folder would change.
int run_diff(const context& where, const std::string& folder);

/// Puts a folder in force on top of a revision, the newest when empty.
int run_apply(const context& where, const std::string& folder,
              std::optional<std::uint64_t> on_revision);

/// Shows every value in force and the file that set it.
int run_show(const context& where);

/// Shows who coordinates what, and the revision in force where.
int run_status(const context& where);

/// Shows the events about a request, a service, a host or a kind of event.
int run_explain(const context& where, const std::string& about);

/// Starts the graceful shutdown of the proxies given.
int run_drain(const context& where);

} // namespace plantainctl
