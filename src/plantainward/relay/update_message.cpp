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
    archive(limits.max_connections, limits.sync_replicas);
}

template <class Archive>
void serialize(Archive& archive, quota_limit& limit)
{
    archive(limit.rate_per_s, limit.burst);
}

template <class Archive>
void serialize(Archive& archive, workspace& workspace)
{
    archive(workspace.name, workspace.priority, workspace.quota);
}

template <class Archive>
void serialize(Archive& archive, routing& routing)
{
    archive(routing.version, routing.routes, routing.services,
            routing.transaction_idle_timeout, routing.has_workspaces,
            routing.workspaces, routing.workspace_by_key_digest);
}

template <class Archive>
void serialize(Archive& archive, upstream& upstream)
{
    archive(upstream.id, upstream.service, upstream.address,
            upstream.failure_domain, upstream.leaving, upstream.claims_primary,
            upstream.started_at_ms);
}

} // namespace plantainward::routes

namespace plantainward::fleet
{

template <class Archive>
void serialize(Archive& archive, table_versions& versions)
{
    archive(versions.routing, versions.upstreams, versions.members,
            versions.voters);
}

template <class Archive>
void serialize(Archive& archive, sent_routing_proof& proof)
{
    archive(proof.era, proof.after_request);
}

template <class Archive>
void serialize(Archive& archive, table_update& update)
{
    archive(update.versions, update.is_current, update.routing_proof,
            update.routing, update.upstreams, update.hosts, update.voters);
    // The version of a voter set is no part of its serialized value.
    if (update.voters)
        update.voters->version = update.versions.voters;
}

} // namespace plantainward::fleet

namespace plantainward::relay
{

std::string encode(const fleet::table_versions& versions)
{
    return internal::encode_with_digest(versions);
}

std::optional<fleet::table_versions> decode_versions(std::string_view bytes)
{
    return internal::decode_with_digest<fleet::table_versions>(
        bytes, "table versions");
}

std::string encode(const fleet::table_update& update)
{
    return internal::encode_with_digest(update);
}

std::optional<fleet::table_update> decode_update(std::string_view bytes)
{
    return internal::decode_with_digest<fleet::table_update>(bytes,
                                                             "table update");
}

} // namespace plantainward::relay
