#include <plantainward/relay/update_message.hpp>

#include <plantainward/relay/internal/route_archive.hpp>
#include <plantainward/relay/internal/sealed.hpp>

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
    archive(one.version, one.routes, one.services, one.transaction_idle);
}

template <class Archive>
void serialize(Archive& archive, upstream& one)
{
    archive(one.id, one.service, one.address, one.failure_domain, one.leaving,
            one.claims_primary, one.born_ms);
}

} // namespace plantainward::routes

namespace plantainward::fleet
{

template <class Archive>
void serialize(Archive& archive, news_versions& one)
{
    archive(one.routing, one.upstreams, one.members);
}

template <class Archive>
void serialize(Archive& archive, fleet_news& one)
{
    archive(one.versions, one.is_current, one.routing, one.upstreams,
            one.hosts);
}

} // namespace plantainward::fleet

namespace plantainward::relay
{

std::string encode(const fleet::news_versions& one)
{
    return internal::seal(one);
}

std::optional<fleet::news_versions> decode_versions(std::string_view bytes)
{
    return internal::unseal<fleet::news_versions>(bytes, "versions of tables");
}

std::string encode(const fleet::fleet_news& one)
{
    return internal::seal(one);
}

std::optional<fleet::fleet_news> decode_news(std::string_view bytes)
{
    return internal::unseal<fleet::fleet_news>(bytes, "news of the fleet");
}

} // namespace plantainward::relay
