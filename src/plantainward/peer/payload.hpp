#pragma once

#include <plantainward/coordinator/request.hpp>
#include <plantainward/failover/opinion.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace plantainward::peer
{

/// A revision of the configuration as proxies exchange it.
struct revision_document
{
    std::uint64_t revision{0};
    std::string digest;
    std::string body;
    std::string writer;

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(revision, digest, body, writer);
    }
};

/// Each `decode` function returns an empty optional when the bytes are
/// malformed.
std::string encode(const coordinator::caller_request& request);
std::optional<coordinator::caller_request>
decode_request(std::string_view bytes);

std::string encode(const coordinator::caller_reply& reply);
std::optional<coordinator::caller_reply> decode_reply(std::string_view bytes);

std::string encode(const revision_document& document);
std::optional<revision_document> decode_revision(std::string_view bytes);

std::string encode(const failover::opinion& opinion);
std::optional<failover::opinion> decode_opinion(std::string_view bytes);

} // namespace plantainward::peer
