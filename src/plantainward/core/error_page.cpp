#include <plantainward/core/error_page.hpp>

#include <plantainward/core/error_kind.hpp>

#include <sstream>

namespace plantainward::core
{

std::string error_page()
{
    std::ostringstream page;
    page << "# Kinds of errors\n\n"
            "The closed list of errors, from `core/error_kind.cpp`. This page "
            "is written by\n`plantainwardd --errors-page`.\n\n"
            "`not_run` is a guarantee. `unknown` means that the proxy tried "
            "within the deadline to\nsettle the request and could not; ask "
            "again with the same id.\n\n"
            "| kind | HTTP status | ran | retryable | retry after, ms |\n"
            "| --- | --- | --- | --- | --- |\n";
    for (const auto& row : error_table())
        page << "| `" << row.name << "` | " << row.http_status << " | "
             << name_of(row.ran) << " | " << (row.retryable ? "yes" : "no")
             << " | " << row.retry_after_ms << " |\n";
    return page.str();
}

} // namespace plantainward::core
