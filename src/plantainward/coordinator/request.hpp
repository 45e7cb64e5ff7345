#pragma once

#include <plantainward/core/enum_names.hpp>
#include <plantainward/core/error_kind.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/upstream/log_point.hpp>
#include <plantainward/upstream/statement.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plantainward::coordinator
{

/// What a caller asks for.
enum class request_kind : std::uint8_t
{
    one_shot,
    begin,
    execute,
    commit,
    rollback
};

/// How fresh the data of a read must be.
enum class freshness : std::uint8_t
{
    /// The newest: read at a primary that is confirmed as such.
    latest,
    /// At least what the session has seen.
    session,
    /// At most a stated age, and at least what the session has seen.
    max_age
};

/// Names of the freshness needs.
inline constexpr core::enum_names<freshness, 3> freshness_names{
    {"latest", "session", "max_age"}};

/// Priority of a request when connections are scarce, highest first.
enum class request_class : std::uint8_t
{
    booking,
    view,
    bulk
};

/// Names of the request classes.
inline constexpr core::enum_names<request_class, 3> request_class_names{
    {"booking", "view", "bulk"}};

/// A caller's request to one group.
struct caller_request
{
    std::string service;
    int slot{0};
    request_kind kind{request_kind::one_shot};
    std::vector<upstream::statement> statements;
    freshness required_freshness{freshness::latest};
    /// Greatest age of the data read, for `max_age`.
    core::millis max_age{0};
    /// What the session has seen in this group.
    upstream::log_point session;
    /// Idempotency id; empty for none.
    std::string id;
    std::string tenant;
    request_class klass{request_class::booking};
    /// Handle of the interactive transaction.
    std::string transaction;
    /// Time left until the caller's deadline.
    core::millis time_left{0};
    /// Id under which the request is explained.
    std::string trace;

    template <class Archive>
    void save(Archive& archive) const
    {
        archive(service, slot, kind, statements, required_freshness,
                max_age.count(), session, id, tenant, klass, transaction,
                time_left.count(), trace);
    }

    template <class Archive>
    void load(Archive& archive)
    {
        core::millis::rep age = 0;
        core::millis::rep left = 0;
        archive(service, slot, kind, statements, required_freshness, age,
                session, id, tenant, klass, transaction, left, trace);
        max_age = core::millis(age);
        time_left = core::millis(left);
    }
};

/// Whether every statement of a one-shot request only reads.
bool is_read_only(const caller_request& request);

/// Digest of the content behind an id.
std::string content_digest(const caller_request& request);

/// The answer to a caller's request.
struct caller_reply
{
    /// Kind of the failure; empty on success.
    std::optional<core::error_kind> error;
    std::string reason;
    std::vector<upstream::statement_result> results;
    /// Confirmed log point that the answer saw.
    upstream::log_point seen;
    bool replayed{false};
    bool from_replica{false};
    /// Proved bound on the age of the data read, in milliseconds.
    std::int64_t age_ms{0};
    /// Handle of the open interactive transaction.
    std::string transaction;
    /// Waits for a connection and for the confirmation, in milliseconds; known
    /// at the coordinator only.
    double queue_ms{0};
    double confirmation_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(error, reason, results, seen, replayed, from_replica, age_ms,
                transaction);
    }
};

/// A reply for a failure.
caller_reply failure(core::error_kind kind, std::string reason);

} // namespace plantainward::coordinator
