#include <plantainward/sql/upstream_message.hpp>

namespace plantainward::sql
{

bool is_not_run(refusal one)
{
    return one == refusal::busy || one == refusal::behind ||
           one == refusal::read_only || one == refusal::unknown_statement;
}

} // namespace plantainward::sql
