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

/// How an apply ended.
struct apply_result
{
    /// Kind of the failure; empty when the revision was accepted.
    std::optional<core::error_kind> error;
    std::string reason;
    /// The accepted head, or the one that won a conflict.
    head current_head;
};

/// Receives the end of an apply, exactly once.
using apply_handler = std::function<void(apply_result)>;

/// Puts a new revision in force: the body first, then the head row.
///
/// The head moves by compare-and-set from the revision that the operator saw.
/// An answer that is lost after its effect is settled by reading the row back
/// and comparing the id of its writer.
template <platform::table_service Table, platform::object_store Objects>
class applier : public std::enable_shared_from_this<applier<Table, Objects>>
{
public:
    applier(Table& table, Objects& objects) : m_table(table), m_objects(objects)
    {
    }

    /// Applies a body on top of the revision that its author saw.
    void apply(std::string body, std::uint64_t seen_revision,
               std::string writer, std::string author, apply_handler handler)
    {
        m_body = std::move(body);
        m_wanted = {seen_revision + 1, core::sha256_hex(m_body),
                    std::move(writer), std::move(author)};
        m_handler = std::move(handler);
        put_body(attempts);
    }

private:
    static constexpr int attempts = 5;

    void put_body(int left)
    {
        m_objects.put_object(
            m_wanted.digest, m_body,
            [self = this->shared_from_this(),
             left](const platform::reply<std::string>& reply) {
                // Writing an object again under its digest changes nothing.
                if (reply.outcome == platform::platform_outcome::ok)
                    return self->move_head(attempts);
                if (left > 1)
                    return self->put_body(left - 1);
                self->fail(core::error_kind::platform_down,
                           "the object store did not take the body; nothing "
                           "is in force");
            });
    }

    void move_head(int left)
    {
        m_table.compare_and_set(
            std::string(head_row), m_wanted.revision - 1, encode(m_wanted),
            [self = this->shared_from_this(),
             left](const platform::reply<platform::table_row>& reply) {
                if (reply.outcome == platform::platform_outcome::ok)
                    return self->succeed();
                self->read_back(left);
            });
    }

    void read_back(int left)
    {
        m_table.read_row(
            std::string(head_row),
            [self = this->shared_from_this(),
             left](const platform::reply<platform::table_row>& reply) {
                self->settle(reply, left);
            });
    }

    void settle(const platform::reply<platform::table_row>& reply, int left)
    {
        using platform::platform_outcome;
        const bool absent = reply.outcome == platform_outcome::not_found;
        if (reply.outcome == platform_outcome::ok)
        {
            m_found = decode_head(reply.value.value, reply.value.version)
                          .value_or(head{});
            if (m_found.writer == m_wanted.writer)
                return succeed();
            if (m_found.revision >= m_wanted.revision)
                return fail(core::error_kind::revision_conflict,
                            "revision " + std::to_string(m_found.revision) +
                                " by " + m_found.author +
                                " came first; nothing was changed");
        }
        if (left <= 1)
            return fail(core::error_kind::outcome_unknown,
                        "the table service did not answer; ask with "
                        "'plantainctl status' before you apply again");
        if (absent || reply.outcome == platform_outcome::ok)
            return move_head(left - 1);
        read_back(left - 1);
    }

    void succeed() { std::exchange(m_handler, {})({{}, {}, m_wanted}); }

    void fail(core::error_kind kind, std::string reason)
    {
        std::exchange(m_handler, {})({kind, std::move(reason), m_found});
    }

    Table& m_table;
    Objects& m_objects;
    std::string m_body;
    head m_wanted;
    head m_found;
    apply_handler m_handler;
};

} // namespace plantainward::intent
