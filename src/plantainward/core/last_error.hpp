#pragma once

#include <plantainward/core/error_kind.hpp>

#include <optional>
#include <string>

namespace plantainward::core
{

/// Why a function returned an empty optional.
struct error
{
    error_kind kind{error_kind::internal};
    std::string text;
};

/// The error that `fail` recorded last on this thread.
const error& last_error();

/// Records an error for this thread and returns `nullopt`, so that a function
/// can `return fail(kind, text);`.
std::nullopt_t fail(error_kind kind, std::string text);

} // namespace plantainward::core
