#include <plantainward/relay/relay_message.hpp>

#include <plantainward/relay/internal/message_digest.hpp>
#include <plantainward/relay/internal/route_archive.hpp>

#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace plantainward::sql
{

template <class Archive>
void serialize(Archive& archive, statement& statement)
{
    archive(statement.kind, statement.id, statement.text, statement.name,
            statement.value, statement.writes);
}

template <class Archive>
void serialize(Archive& archive, reply& reply)
{
    archive(reply.rows, reply.signature, reply.error, reply.text, reply.state,
            reply.position);
}

} // namespace plantainward::sql

namespace plantainward::pooling
{

template <class Archive>
void serialize(Archive& archive, prepared_statement& prepared)
{
    archive(prepared.writes, prepared.shape);
}

template <class Archive>
void serialize(Archive& archive, forwarded_work& work)
{
    archive(work.statement, work.route, work.routing_version, work.workspace,
            work.values, work.prepared, work.part, work.read_only,
            work.transaction_age, work.time_left, work.start_within,
            work.own_commit, work.own_commit_age);
}

template <class Archive>
void serialize(Archive& archive, forwarded_reply& reply)
{
    archive(reply.reply, reply.at_replica, reply.try_elsewhere,
            reply.was_not_run);
}

} // namespace plantainward::pooling

namespace plantainward::quota
{

template <class Archive>
void serialize(Archive& archive, token_grant& grant)
{
    archive(grant.answer, grant.count, grant.retry_after);
}

} // namespace plantainward::quota

namespace plantainward::relay
{

template <class Archive>
void serialize(Archive& archive, token_request_message& message)
{
    archive(message.origin, message.request, message.workspace, message.count);
}

template <class Archive>
void serialize(Archive& archive, statement_message& message)
{
    archive(message.origin, message.operation, message.work);
}

template <class Archive>
void serialize(Archive& archive, end_message& message)
{
    archive(message.origin, message.operation);
}

using internal::decode_with_digest;
using internal::encode_with_digest;

std::string encode(const statement_message& message)
{
    return encode_with_digest(message);
}

std::optional<statement_message> decode_statement(std::string_view bytes)
{
    return decode_with_digest<statement_message>(bytes, "forwarded statement");
}

std::string encode(const end_message& message)
{
    return encode_with_digest(message);
}

std::optional<end_message> decode_end(std::string_view bytes)
{
    return decode_with_digest<end_message>(bytes, "end of an operation");
}

std::string encode(const token_request_message& message)
{
    return encode_with_digest(message);
}

std::optional<token_request_message>
decode_token_request(std::string_view bytes)
{
    return decode_with_digest<token_request_message>(bytes,
                                                     "request for tokens");
}

std::string encode(const quota::token_grant& grant)
{
    return encode_with_digest(grant);
}

std::optional<quota::token_grant> decode_grant(std::string_view bytes)
{
    return decode_with_digest<quota::token_grant>(bytes, "grant of tokens");
}

std::string encode(const pooling::forwarded_reply& reply)
{
    return encode_with_digest(reply);
}

std::optional<pooling::forwarded_reply> decode_reply(std::string_view bytes)
{
    return decode_with_digest<pooling::forwarded_reply>(
        bytes, "reply to a forwarded statement");
}

} // namespace plantainward::relay
