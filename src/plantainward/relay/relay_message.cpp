#include <plantainward/relay/relay_message.hpp>

#include <plantainward/core/archive.hpp>
#include <plantainward/core/digest.hpp>

#include <algorithm>

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

namespace plantainward::routes
{

template <class Archive>
void serialize(Archive& archive, route& one)
{
    archive(one.database, one.service, one.rule, one.timeout, one.target,
            one.priority, one.max_age);
}

} // namespace plantainward::routes

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

namespace
{

constexpr std::size_t digest_bytes = sizeof(std::uint64_t);

// Damaged lengths would make a decoder reserve memory without bound, so a
// message carries the hash of its bytes.
std::string digest_of(std::string_view bytes)
{
    auto hash = core::placement_hash("relay message", bytes);
    std::string made;
    for (std::size_t i = 0; i < digest_bytes; ++i, hash >>= 8U)
        made += static_cast<char>(hash & 0xFFU);
    return made;
}

template <class Message>
std::string seal(const Message& one)
{
    const auto bytes = core::to_bytes(one);
    return digest_of(bytes) + bytes;
}

template <class Message>
std::optional<Message> unseal(std::string_view bytes, const char* what)
{
    const auto body = bytes.substr(std::min(bytes.size(), digest_bytes));
    if (bytes.substr(0, digest_bytes) != digest_of(body))
        return core::fail(core::error_kind::bad_request,
                          std::string("damaged ") + what);
    return core::from_bytes<Message>(body, what);
}

} // namespace

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
