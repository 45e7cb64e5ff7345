#include <plantainward/core/error_kind.hpp>

#include <array>

namespace plantainward::core
{

namespace
{

using enum error_kind;
using enum effect;

constexpr std::array<error_answer, 26> table{{
    {bad_request, "bad_request", 400, not_run, false, 0},
    {bad_token, "bad_token", 400, not_run, false, 0},
    {not_found, "not_found", 404, not_run, false, 0},
    {too_large, "too_large", 413, not_run, false, 0},
    {header_too_large, "header_too_large", 431, not_run, false, 0},
    {timed_out_reading, "timed_out_reading", 408, not_run, true, 0},
    {statement_failed, "statement_failed", 422, not_run, false, 0},
    {conflict, "conflict", 409, not_run, true, 0},
    {id_reused, "id_reused", 422, not_run, false, 0},
    {id_voided, "id_voided", 409, not_run, false, 0},
    {wrong_term, "wrong_term", 503, not_run, true, 50},
    {unavailable, "unavailable", 503, not_run, true, 100},
    {overloaded, "overloaded", 503, not_run, true, 200},
    {deadline_passed, "deadline_passed", 504, not_run, true, 0},
    {draining, "draining", 503, not_run, true, 0},
    {too_stale, "too_stale", 503, not_run, true, 100},
    {transaction_lost, "transaction_lost", 409, not_run, true, 0},
    {outcome_unknown, "outcome_unknown", 504, unknown, false, 0},
    {connection_limit, "connection_limit", 503, not_run, true, 100},
    {revision_conflict, "revision_conflict", 409, not_run, false, 0},
    {bad_intent, "bad_intent", 400, not_run, false, 0},
    {bad_setting, "bad_setting", 400, not_run, false, 0},
    {platform_down, "platform_down", 503, unknown, true, 500},
    {unauthenticated, "unauthenticated", 401, not_run, false, 0},
    {quota_exceeded, "quota_exceeded", 429, not_run, true, 200},
    {internal, "internal", 500, unknown, false, 0},
}};

constexpr bool is_in_order()
{
    for (std::size_t i = 0; i < table.size(); ++i)
        if (static_cast<std::size_t>(table[i].kind) != i)
            return false;
    return table.back().kind == internal;
}

static_assert(is_in_order(), "the table follows the order of error_kind");

constexpr std::array<std::string_view, 3> effect_names{"done", "not_run",
                                                       "unknown"};

} // namespace

std::span<const error_answer> error_table()
{
    return table;
}

const error_answer& answer_for(error_kind kind)
{
    return table.at(static_cast<std::size_t>(kind));
}

std::string_view name_of(error_kind kind)
{
    return answer_for(kind).name;
}

std::optional<error_kind> error_kind_named(std::string_view name)
{
    for (const auto& row : table)
        if (row.name == name)
            return row.kind;
    return std::nullopt;
}

std::string_view name_of(effect ran)
{
    return effect_names.at(static_cast<std::size_t>(ran));
}

} // namespace plantainward::core
