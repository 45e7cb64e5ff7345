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
void serialize(Archive& archive, statement& one)
{
    archive(one.kind, one.id, one.text, one.name, one.value, one.writes);
}

template <class Archive>
void serialize(Archive& archive, reply& one)
{
    archive(one.rows, one.signature, one.error, one.text, one.state,
            one.position);
}

} // namespace plantainward::sql

namespace plantainward::pooling
{

template <class Archive>
void serialize(Archive& archive, prepared_statement& one)
{
    archive(one.writes, one.shape);
}

template <class Archive>
void serialize(Archive& archive, forwarded_work& one)
{
    archive(one.statement, one.route, one.values, one.prepared, one.part,
            one.read_only, one.transaction_age, one.time_left, one.own_commit,
            one.own_commit_age);
}

template <class Archive>
void serialize(Archive& archive, forwarded_reply& one)
{
    archive(one.reply, one.at_replica, one.try_elsewhere);
}

} // namespace plantainward::pooling

namespace plantainward::relay
{

template <class Archive>
void serialize(Archive& archive, statement_message& one)
{
    archive(one.origin, one.operation, one.work);
}

template <class Archive>
void serialize(Archive& archive, end_message& one)
{
    archive(one.origin, one.operation);
}

using internal::seal;
using internal::unseal;

std::string encode(const statement_message& one)
{
    return seal(one);
}

std::optional<statement_message> decode_statement(std::string_view bytes)
{
    return unseal<statement_message>(bytes, "forwarded statement");
}

std::string encode(const end_message& one)
{
    return seal(one);
}

std::optional<end_message> decode_end(std::string_view bytes)
{
    return unseal<end_message>(bytes, "end of an operation");
}

std::string encode(const pooling::forwarded_reply& one)
{
    return seal(one);
}

std::optional<pooling::forwarded_reply> decode_reply(std::string_view bytes)
{
    return unseal<pooling::forwarded_reply>(bytes,
                                            "reply to a forwarded statement");
}

} // namespace plantainward::relay
