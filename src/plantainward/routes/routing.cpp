#include <plantainward/routes/routing.hpp>

namespace plantainward::routes
{

const route* routing::find(const std::string& database) const
{
    const auto found = routes.find(database);
    return found == routes.end() ? nullptr : &found->second;
}

const workspace* routing::find_workspace(std::string_view key_digest) const
{
    const auto holder = workspace_by_key_digest.find(key_digest);
    if (holder == workspace_by_key_digest.end())
        return nullptr;
    const auto found = workspaces.find(holder->second);
    return found == workspaces.end() ? nullptr : &found->second;
}

} // namespace plantainward::routes
