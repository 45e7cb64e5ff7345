#pragma once

#include <plantainward/pooling/session.hpp>
#include <plantainward/pooling/upstream_pool.hpp>

namespace plantainward::pooling
{

/// Milliseconds by which a statement takes longer at a database because a
/// connection of its workspace has to be opened first; 0 when one is idle, and
/// for statements without a workspace.
double connection_cost_ms(const upstream_pool& pool, const session& session);

} // namespace plantainward::pooling
