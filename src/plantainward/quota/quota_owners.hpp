#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace plantainward::quota
{

/// Failure domains of the voters, by name.
using voter_domains = std::map<std::string, std::string>;

/// The hosts that own the limit of a workspace: up to three voters, in distinct
/// failure domains as far as there are that many.
///
/// Depends only on the arguments, so that all hosts with the same voter set
/// agree.
std::vector<std::string> quota_owners(const voter_domains& voters,
                                      std::string_view workspace);

} // namespace plantainward::quota
