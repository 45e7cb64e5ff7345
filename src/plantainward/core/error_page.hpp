#pragma once

#include <string>

namespace plantainward::core
{

/// The page `docs/ERRORS.md`, from the table of error kinds.
std::string error_page();

} // namespace plantainward::core
