#include <plantainward/relay/update_message.hpp>

#include <plantainward/relay/internal/message_digest.hpp>
#include <plantainward/relay/internal/route_archive.hpp>

#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/vector.hpp>

namespace plantainward::routes
{

template <class Archive>
void serialize(Archive& archive, service_limits& limits)
{
    archive(limits.max_connections);
}

template <class Archive>
void serialize(Archive& archive, routing& routing)
{
    archive(routing.version, routing.routes, routing.services,
            routing.transaction_idle);
}

template <class Archive>
void serialize(Archive& archive, upstream& upstream)
{
    archive(upstream.id, upstream.service, upstream.address,
            upstream.failure_domain, upstream.leaving, upstream.claims_primary,
            upstream.born_ms);
}

} // namespace plantainward::routes

namespace plantainward::fleet
{

template <class Archive>
void serialize(Archive& archive, news_versions& versions)
{
    archive(versions.routing, versions.upstreams, versions.members);
}

template <class Archive>
void serialize(Archive& archive, fleet_news& update)
{
    archive(update.versions, update.is_current, update.routing,
            update.upstreams, update.hosts);
}

} // namespace plantainward::fleet

namespace plantainward::relay
{

std::string encode(const fleet::news_versions& versions)
{
    return internal::encode_with_digest(versions);
}

std::optional<fleet::news_versions> decode_versions(std::string_view bytes)
{
    return internal::decode_with_digest<fleet::news_versions>(bytes,
                                                              "table versions");
}

std::string encode(const fleet::fleet_news& update)
{
    return internal::encode_with_digest(update);
}

std::optional<fleet::fleet_news> decode_update(std::string_view bytes)
{
    return internal::decode_with_digest<fleet::fleet_news>(bytes,
                                                           "table update");
}

} // namespace plantainward::relay
