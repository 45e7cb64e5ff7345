#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace plantainward::core
{

/// Kinds of failure of a request, a command or the start of a process.
enum class error_kind : std::uint8_t
{
    bad_request,
    /// The session token is malformed or not signed by a known key.
    bad_token,
    not_found,
    too_large,
    header_too_large,
    /// The request did not arrive completely in time.
    timed_out_reading,
    /// The database rejected the statement.
    statement_failed,
    /// Data that the transaction read has changed, or another statement of it
    /// is running.
    conflict,
    /// The id of the request was used before with other content.
    id_reused,
    /// The id of the request was settled as not run.
    id_voided,
    /// The database accepts requests of another term only.
    wrong_term,
    unavailable,
    overloaded,
    deadline_passed,
    draining,
    /// No database proved that its data is as new as the read requires.
    too_stale,
    /// The interactive transaction is no longer open.
    transaction_lost,
    /// The answer to a write was lost and could not be settled.
    outcome_unknown,
    /// The database has no free connection.
    connection_limit,
    /// Another revision of the configuration was accepted first.
    revision_conflict,
    /// The configuration of the services is invalid.
    bad_intent,
    /// A setting of a process is invalid.
    bad_setting,
    /// A service of the platform failed or did not answer.
    platform_down,
    /// The caller's key is not known, or has been withdrawn.
    unauthenticated,
    /// The workspace of the caller has used up its quota.
    quota_exceeded,
    internal
};

/// Whether a request took effect.
enum class effect : std::uint8_t
{
    done,
    not_run,
    unknown
};

/// How one kind of error is reported to callers.
struct error_answer
{
    error_kind kind;
    std::string_view name;
    int http_status;
    /// Whether a request that failed in this way took effect.
    effect ran;
    /// Whether the caller is advised to retry.
    bool retryable;
    /// Shortest wait before a retry in milliseconds, 0 for none.
    int retry_after_ms;
};

/// One row for each kind, in the order of the enumeration.
std::span<const error_answer> error_table();

/// The row of one kind.
const error_answer& answer_for(error_kind kind);

/// The name of a kind as it appears in answers and logs.
std::string_view name_of(error_kind kind);

/// The kind with this name; empty optional when there is none.
std::optional<error_kind> error_kind_named(std::string_view name);

/// The name of an effect as it appears in answers.
std::string_view name_of(effect ran);

} // namespace plantainward::core
