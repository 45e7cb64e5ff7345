#include <plantainward/peer/payload.hpp>

#include <plantainward/core/archive.hpp>

#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace plantainward::peer
{

using core::from_bytes;
using core::to_bytes;

std::string encode(const coordinator::caller_request& request)
{
    return to_bytes(request);
}

std::optional<coordinator::caller_request>
decode_request(std::string_view bytes)
{
    return from_bytes<coordinator::caller_request>(bytes, "message of a peer");
}

std::string encode(const coordinator::caller_reply& reply)
{
    return to_bytes(reply);
}

std::optional<coordinator::caller_reply> decode_reply(std::string_view bytes)
{
    return from_bytes<coordinator::caller_reply>(bytes, "message of a peer");
}

std::string encode(const revision_document& document)
{
    return to_bytes(document);
}

std::optional<revision_document> decode_revision(std::string_view bytes)
{
    return from_bytes<revision_document>(bytes, "message of a peer");
}

std::string encode(const failover::opinion& opinion)
{
    return to_bytes(opinion);
}

std::optional<failover::opinion> decode_opinion(std::string_view bytes)
{
    return from_bytes<failover::opinion>(bytes, "message of a peer");
}

} // namespace plantainward::peer
