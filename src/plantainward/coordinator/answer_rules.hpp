#pragma once

#include <plantainward/coordinator/group_view.hpp>
#include <plantainward/coordinator/work.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/upstream/service_layout.hpp>

/// When what a database answered may be told to the caller.
namespace plantainward::coordinator
{

/// Whether the answer needs proof that the primary was not yet replaced when
/// the request started.
bool needs_proof_of_primary(const work& one, upstream::acknowledgement policy);

/// Whether the answer can no longer be lost, was given by the primary when it
/// had to be, and is fresh enough.
bool may_be_told(const work& one, const group_view& view,
                 upstream::acknowledgement policy, core::instant now);

/// Whether the data read is within the age that the caller stated.
bool is_fresh_enough(const work& one, const group_view& view,
                     core::instant now);

} // namespace plantainward::coordinator
