#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plantainward::http
{

/// One header field.
using field = std::pair<std::string, std::string>;

/// A complete HTTP request.
struct request
{
    std::string method;
    std::string target;
    std::vector<field> fields;
    std::string body;

    /// The value of the first field of that name, empty when there is none;
    /// case does not count.
    std::string_view header(std::string_view name) const;
};

/// A complete HTTP response.
struct response
{
    int status{200};
    std::string body;
    std::string content_type{"application/json"};
    std::vector<field> fields{};
    /// Closes the connection after this response.
    bool close{false};
};

} // namespace plantainward::http
