#pragma once

#include <plantainward/core/digest.hpp>
#include <plantainward/core/error_kind.hpp>
#include <plantainward/intent/head.hpp>
#include <plantainward/platform/object_store.hpp>
#include <plantainward/platform/table_service.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace plantainward::intent
{

/// Outcome of an apply.
struct apply_result
{
    /// Kind of the failure; empty when the revision was accepted.
    std::optional<core::error_kind> error;
    /// Text of the failure.
    std::string reason;
    /// The head that was accepted or that won the conflict; after any other
    /// failure the head that was read last, revision 0 for none.
    head current_head;
};

/// Receives the outcome of an apply, exactly once.
using apply_handler = std::function<void(apply_result)>;

/// Puts a new revision in force: stores its body, then updates the head row.
///
/// The head row is updated by compare-and-set from the revision that the
/// operator saw. When the answer is lost, the row is read back and the id of
/// its writer tells whether the update took effect.
template <platform::table_service Table, platform::object_store Objects>
class applier : public std::enable_shared_from_this<applier<Table, Objects>>
{
public:
    applier(Table& table, Objects& objects) : m_table(table), m_objects(objects)
    {
    }

    /// Applies a body as the successor of the revision that its author saw.
    ///
    /// An instance is used for one apply.
    void apply(std::string body, std::uint64_t base_revision,
               std::string writer, std::string author, apply_handler handler)
    {
        m_body = std::move(body);
        m_new_head = {base_revision + 1, core::sha256_hex(m_body),
                      std::move(writer), std::move(author)};
        m_handler = std::move(handler);
        put_body(max_attempts);
    }

private:
    static constexpr int max_attempts = 5;

    void put_body(int attempts_left)
    {
        m_objects.put_object(
            m_new_head.digest, m_body,
            [self = this->shared_from_this(),
             attempts_left](const platform::reply<std::string>& reply) {
                // A repeated write is harmless, since the key is the digest of
                // the body.
                if (reply.outcome == platform::platform_outcome::ok)
                    return self->move_head(max_attempts);
                if (attempts_left > 1)
                    return self->put_body(attempts_left - 1);
                self->fail(core::error_kind::platform_down,
                           "the object store did not store the body; the new "
                           "revision is not in force");
            });
    }

    void move_head(int attempts_left)
    {
        m_table.compare_and_set(
            std::string(head_row), m_new_head.revision - 1, encode(m_new_head),
            [self = this->shared_from_this(),
             attempts_left](const platform::reply<platform::table_row>& reply) {
                if (reply.outcome == platform::platform_outcome::ok)
                    return self->succeed();
                self->read_back(attempts_left);
            });
    }

    void read_back(int attempts_left)
    {
        m_table.read_row(
            std::string(head_row),
            [self = this->shared_from_this(),
             attempts_left](const platform::reply<platform::table_row>& reply) {
                self->settle(reply, attempts_left);
            });
    }

    void settle(const platform::reply<platform::table_row>& reply,
                int attempts_left)
    {
        using platform::platform_outcome;
        const bool is_absent = reply.outcome == platform_outcome::not_found;
        if (reply.outcome == platform_outcome::ok)
        {
            m_current_head = decode_head(reply.value.value, reply.value.version)
                                 .value_or(head{});
            if (m_current_head.writer == m_new_head.writer)
                return succeed();
            if (m_current_head.revision >= m_new_head.revision)
                return fail(core::error_kind::revision_conflict,
                            "revision " +
                                std::to_string(m_current_head.revision) +
                                " by " + m_current_head.author +
                                " was accepted first; nothing was changed");
        }
        if (attempts_left <= 1)
            return fail(core::error_kind::outcome_unknown,
                        "the table service did not answer; check "
                        "'plantainctl status' before applying again");
        if (is_absent || reply.outcome == platform_outcome::ok)
            return move_head(attempts_left - 1);
        read_back(attempts_left - 1);
    }

    void succeed() { std::exchange(m_handler, {})({{}, {}, m_new_head}); }

    void fail(core::error_kind kind, std::string reason)
    {
        std::exchange(m_handler, {})({kind, std::move(reason), m_current_head});
    }

    Table& m_table;
    Objects& m_objects;
    std::string m_body;
    head m_new_head;
    head m_current_head;
    apply_handler m_handler;
};

} // namespace plantainward::intent
