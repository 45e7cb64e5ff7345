#pragma once

#include <map>
#include <string>

namespace plantainward::pooling
{

/// Session values by name.
using session_values = std::map<std::string, std::string>;

/// A prepared statement as a session knows it.
struct prepared_statement
{
    bool writes{false};
    std::string shape;
};

} // namespace plantainward::pooling
