#include <plantainward/relay/update_message.hpp>

#include <plantainward/relay/internal/message_digest.hpp>
#include <plantainward/relay/internal/route_archive.hpp>

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>

namespace plantainward::routes
{

template <class Archive>
void serialize(Archive& archive, service_limits& one)
{
    archive(one.max_connections);
}

template <class Archive>
void serialize(Archive& archive, routing& one)
{
    archive(one.version, one.routes, one.services,
            one.transaction_idle_timeout);
}

template <class Archive>
void serialize(Archive& archive, upstream& one)
{
    archive(one.id, one.service, one.address, one.failure_domain, one.leaving,
            one.claims_primary, one.started_at_ms);
}

} // namespace plantainward::routes

namespace plantainward::fleet
{

template <class Archive>
void serialize(Archive& archive, table_versions& one)
{
    archive(one.routing, one.upstreams, one.members);
}

template <class Archive>
void serialize(Archive& archive, table_update& one)
{
    archive(one.versions, one.is_current, one.routing, one.upstreams,
            one.hosts);
}

} // namespace plantainward::fleet

namespace plantainward::relay
{

std::string encode(const fleet::table_versions& one)
{
    return internal::seal(one);
}

std::optional<fleet::table_versions> decode_versions(std::string_view bytes)
{
    return internal::unseal<fleet::table_versions>(bytes, "versions of tables");
}

std::string encode(const fleet::table_update& one)
{
    return internal::seal(one);
}

std::optional<fleet::table_update> decode_news(std::string_view bytes)
{
    return internal::unseal<fleet::table_update>(bytes, "news of the fleet");
}

} // namespace plantainward::relay
