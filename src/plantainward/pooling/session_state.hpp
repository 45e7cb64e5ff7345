#pragma once

#include <map>
#include <string>

namespace plantainward::pooling
{

/// Session values by name.
using session_values = std::map<std::string, std::string>;

/// A statement that a session has prepared.
struct prepared_statement
{
    bool writes{false};
    /// Text of the statement without its arguments.
    std::string shape;
};

} // namespace plantainward::pooling
