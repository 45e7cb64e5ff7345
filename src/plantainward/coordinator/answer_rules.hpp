#pragma once

#include <plantainward/coordinator/group_view.hpp>
#include <plantainward/coordinator/pending_request.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/upstream/service_layout.hpp>

/// Rules that decide when the answer of a database may be sent to the caller.
namespace plantainward::coordinator
{

/// Whether the answer may only be sent with proof that the primary had not been
/// replaced when the request was sent to it.
bool needs_proof_of_primary(const pending_request& pending,
                            upstream::acknowledgement policy);

/// Whether the answer may be sent: no later promotion can lose what it shows,
/// the database that gave it is proved to have been the primary where that is
/// required, and the data is fresh enough. The age of a replica's answer is
/// left to `is_fresh_enough()`.
bool may_answer_caller(const pending_request& pending, const group_view& view,
                       upstream::acknowledgement policy, core::instant now);

/// Whether the data of a `max_age` read is proved to be no older than the
/// caller allows; true for every other request.
bool is_fresh_enough(const pending_request& pending, const group_view& view,
                     core::instant now);

} // namespace plantainward::coordinator
