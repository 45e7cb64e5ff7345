#include <plantainward/routes/routing.hpp>

namespace plantainward::routes
{

const route* routing::find(const std::string& database) const
{
    const auto found = routes.find(database);
    return found == routes.end() ? nullptr : &found->second;
}

} // namespace plantainward::routes
