#pragma once

#include <plantainward/core/error_kind.hpp>

#include <optional>
#include <string>

namespace plantainward::core
{

/// Why the last operation of this thread returned an empty optional.
struct error
{
    error_kind kind{error_kind::internal};
    std::string text;
};

/// The reason behind the last empty optional on this thread.
const error& last_error();

/// Records a reason and returns `nullopt`, so that a function can
/// `return fail(kind, text);`.
std::nullopt_t fail(error_kind kind, std::string text);

} // namespace plantainward::core
