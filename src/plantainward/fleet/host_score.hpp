#pragma once

#include <plantainward/fleet/member.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace plantainward::fleet
{

/// Sorts hosts by weighted rendezvous hashing for a key, best first.
///
/// The chance of a high score grows with the host's processor time and with the
/// rate of its link, whichever limits it more, and a host that joins or leaves
/// does not change the order of the others. A host that is not registered has
/// the lowest weight.
std::vector<std::string> by_score(std::string_view key,
                                  const std::vector<std::string>& names,
                                  const members& hosts);

} // namespace plantainward::fleet
