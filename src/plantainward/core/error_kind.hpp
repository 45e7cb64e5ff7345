#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace plantainward::core
{

/// Every way in which a request, a command or a start can fail.
enum class error_kind : std::uint8_t
{
    bad_request,
    bad_token,
    not_found,
    too_large,
    header_too_large,
    timed_out_reading,
    statement_failed,
    conflict,
    id_reused,
    id_voided,
    wrong_term,
    unavailable,
    overloaded,
    deadline_passed,
    draining,
    too_stale,
    transaction_lost,
    outcome_unknown,
    connection_limit,
    revision_conflict,
    bad_intent,
    bad_setting,
    platform_down,
    internal
};

/// Whether the work of a failed request took effect.
enum class effect : std::uint8_t
{
    done,
    not_run,
    unknown
};

/// The answer that a caller gets for one kind of error.
struct error_answer
{
    error_kind kind;
    std::string_view name;
    int http_status;
    effect ran;
    bool retryable;
    /// Time after which a retry makes sense, in milliseconds.
    int retry_after_ms;
};

/// The closed table from kind to answer, in the order of the kinds.
std::span<const error_answer> error_table();

/// The answer of one kind.
const error_answer& answer_for(error_kind kind);

/// The name of a kind as it appears in answers and logs.
std::string_view name_of(error_kind kind);

/// The kind with this name, if there is one.
std::optional<error_kind> error_kind_named(std::string_view name);

/// The name of an effect as it appears in answers.
std::string_view name_of(effect ran);

} // namespace plantainward::core
