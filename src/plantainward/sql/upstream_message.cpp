#include <plantainward/sql/upstream_message.hpp>

namespace plantainward::sql
{

bool is_not_run(refusal reason)
{
    return reason == refusal::busy || reason == refusal::behind ||
           reason == refusal::read_only || reason == refusal::unknown_statement;
}

} // namespace plantainward::sql
