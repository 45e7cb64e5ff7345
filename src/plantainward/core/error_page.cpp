#include <plantainward/core/error_page.hpp>

#include <plantainward/core/error_kind.hpp>

#include <sstream>

namespace plantainward::core
{

std::string error_page()
{
    std::ostringstream page;
    page
        << "# Kinds of errors\n\n"
           "The complete list of errors, from `core/error_kind.cpp`. This page "
           "is written by\n`plantainwardd --errors-page`.\n\n"
           "`not_run` guarantees that the request had no effect. `unknown` "
           "means that the proxy could\nnot find out within the deadline "
           "whether the request took effect; send it again with\nthe same "
           "id.\n\n"
           "| kind | HTTP status | ran | retryable | retry after, ms |\n"
           "| --- | --- | --- | --- | --- |\n";
    for (const auto& row : error_table())
        page << "| `" << row.name << "` | " << row.http_status << " | "
             << name_of(row.ran) << " | " << (row.retryable ? "yes" : "no")
             << " | " << row.retry_after_ms << " |\n";
    return page.str();
}

} // namespace plantainward::core
