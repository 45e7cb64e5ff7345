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

/// Operation that a caller requests.
enum class request_kind : std::uint8_t
{
    one_shot,
    begin,
    execute,
    commit,
    rollback
};

/// How fresh the data that a read returns must be.
enum class freshness : std::uint8_t
{
    /// The newest data: read at a primary that is proved to be one.
    latest,
    /// Includes everything that the session has seen.
    session,
    /// No older than the age in the request, and includes everything that the
    /// session has seen.
    max_age
};

/// Names of the kinds of freshness, as callers write them.
inline constexpr core::enum_names<freshness, 3> freshness_names{
    {"latest", "session", "max_age"}};

/// Priority of a request when connections are scarce, highest first.
enum class request_class : std::uint8_t
{
    booking,
    view,
    bulk
};

/// Names of the request classes, as callers write them.
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
    /// Greatest age of the data read, for `freshness::max_age`.
    core::millis max_age{0};
    /// Log point that the session has seen in this group.
    upstream::log_point session;
    /// Idempotency id, under which the request runs at most once; empty for
    /// none.
    std::string id;
    std::string tenant;
    request_class klass{request_class::booking};
    /// Handle of the interactive transaction; empty for `one_shot` and `begin`.
    std::string transaction;
    /// Time left until the caller's deadline.
    core::millis time_left{0};
    /// Request id under which the events of this request are recorded.
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

/// Whether this is a one-shot request without an id that contains only reads.
bool is_read_only(const caller_request& request);

/// SHA-256 digest, in hex, of the service, slot and statements of a request; it
/// tells apart requests that use the same id.
std::string content_digest(const caller_request& request);

/// The reply to a caller's request.
struct caller_reply
{
    /// Kind of the error; empty on success.
    std::optional<core::error_kind> error;
    /// Explains the error in plain words.
    std::string reason;
    std::vector<upstream::statement_result> results;
    /// Confirmed log point that the results include.
    upstream::log_point seen;
    /// The results are those of an earlier request with the same id.
    bool replayed{false};
    bool from_replica{false};
    /// Proved upper bound of the age of the data read, in milliseconds; 0 for
    /// answers of the primary.
    std::int64_t age_ms{0};
    /// Handle of the interactive transaction; empty when it has ended or there
    /// is none.
    std::string transaction;
    /// Time spent waiting for a connection and for the confirmation, in
    /// milliseconds; known at the coordinator only, so it isn't transferred.
    double queue_ms{0};
    double confirmation_ms{0};

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(error, reason, results, seen, replayed, from_replica, age_ms,
                transaction);
    }
};

/// Makes the reply for a request that failed.
caller_reply failure(core::error_kind kind, std::string reason);

} // namespace plantainward::coordinator
