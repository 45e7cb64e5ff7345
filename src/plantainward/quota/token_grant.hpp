#pragma once

#include <plantainward/core/enum_names.hpp>
#include <plantainward/core/time.hpp>

#include <cstdint>

namespace plantainward::quota
{

/// How an owner answered a request for tokens.
enum class token_answer : std::uint8_t
{
    granted,
    /// The owner has too few tokens.
    retry_later,
    /// The host does not own the limit by its own voter set.
    not_owner,
    /// The host may have been replaced as an owner, and grants nothing.
    no_majority
};

inline constexpr core::enum_names<token_answer, 4> token_answer_names{
    {"granted", "retry_later", "not_owner", "no_majority"}};

/// An owner's answer to one request.
struct token_grant
{
    token_answer answer{token_answer::not_owner};
    /// Tokens granted; fewer than requested if there were too few.
    std::uint32_t count{0};
    /// Time until the owner has capacity again; 0 if it granted all.
    core::millis retry_after{0};
};

} // namespace plantainward::quota
