#include <plantainward/pooling/connection_cost.hpp>

namespace plantainward::pooling
{

namespace
{

// Time for which a new connection occupies a slot of the database.
constexpr double opening_cost_ms = 12;

} // namespace

double connection_cost_ms(const upstream_pool& pool, const session& session)
{
    if (session.workspace.empty() ||
        pool.has_idle_connection(session.workspace))
        return 0;
    return opening_cost_ms;
}

} // namespace plantainward::pooling
