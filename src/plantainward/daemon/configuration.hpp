#pragma once

#include <plantainward/core/last_error.hpp>
#include <plantainward/core/time.hpp>
#include <plantainward/daemon/coordinator_shell.hpp>
#include <plantainward/intent/head.hpp>
#include <plantainward/intent/revision_store.hpp>
#include <plantainward/peer/payload.hpp>
#include <plantainward/peer/peer_client.hpp>
#include <plantainward/platform/object_store.hpp>
#include <plantainward/platform/table_service.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace plantainward::daemon
{

/// Told of each revision that comes into force, in growing order.
using revision_handler = std::function<void(const intent::accepted_revision&)>;

/// Keeps this proxy's configuration at the newest accepted revision.
///
/// Peers are the first source; the head row is the backstop, read at a rate
/// that is shared by the whole fleet.
template <platform::table_service Table, platform::object_store Objects>
class configuration
    : public std::enable_shared_from_this<configuration<Table, Objects>>
{
public:
    configuration(Table& table, Objects& objects, peer::peer_client& peers,
                  observers seen, std::string host,
                  revision_handler on_revision)
        : m_table(table), m_objects(objects), m_peers(peers), m_seen(seen),
          m_host(std::move(host)), m_on_revision(std::move(on_revision))
    {
    }

    /// Reads the head row when its turn has come.
    void tick(core::instant now, std::size_t live_hosts)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_reading || now - m_last_read < read_interval(live_hosts))
                return;
            m_reading = true;
            m_last_read = now;
        }
        m_table.read_row(
            std::string(intent::head_row),
            [self = this->shared_from_this()](
                const platform::reply<platform::table_row>& reply) {
                self->on_head(reply);
            });
    }

    /// Asks a peer for a newer revision.
    void fetch_from(const core::host& peer)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (std::exchange(m_fetching, true))
                return;
        }
        m_peers.call(
            peer.peer, peer::frame_kind::fetch_revision, {}, fetch_timeout,
            [self = this->shared_from_this()](peer::call_outcome end,
                                              const peer::frame& answer) {
                {
                    const std::lock_guard lock(self->m_mutex);
                    self->m_fetching = false;
                }
                if (end != peer::call_outcome::answered)
                    return;
                const auto document = peer::decode_revision(answer.payload);
                if (document)
                    self->offer(*document, "a peer");
            });
    }

    /// Takes a revision; true when it is in force now or was before.
    bool offer(const peer::revision_document& document, const char* source)
    {
        // Revisions are handed on in the order in which they were accepted.
        const std::lock_guard order(m_order_mutex);
        std::optional<intent::accepted_revision> accepted;
        {
            const std::lock_guard lock(m_mutex);
            if (document.revision <= m_keeper.revision())
                return document.revision == m_keeper.revision();
            if (m_keeper.accept(document.revision, document.digest,
                                document.body, document.writer))
                accepted = m_keeper.current();
        }
        if (!accepted)
        {
            m_seen.record({observe::event_kind::revision_rejected,
                           m_host,
                           -1,
                           {},
                           core::last_error().text});
            return false;
        }
        m_seen.record({observe::event_kind::revision_in_force,
                       m_host,
                       -1,
                       {},
                       "revision " + std::to_string(accepted->revision) +
                           " by " + accepted->author + ", from " + source});
        m_on_revision(*accepted);
        return true;
    }

    /// The revision in force as peers get it; revision 0 when there is none.
    peer::revision_document document() const
    {
        const std::lock_guard lock(m_mutex);
        const auto& now = m_keeper.current();
        if (!now)
            return {};
        return {now->revision, now->digest, now->body, now->author};
    }

private:
    static constexpr core::millis shortest_interval{1000};
    static constexpr core::millis fetch_timeout{1000};
    /// Reads of the head row by the whole fleet, a second.
    static constexpr std::size_t fleet_reads_per_second = 50;

    static core::millis read_interval(std::size_t live_hosts)
    {
        const auto shared = core::millis(
            1000 * static_cast<core::millis::rep>(live_hosts) /
            static_cast<core::millis::rep>(fleet_reads_per_second));
        return std::max(shortest_interval, shared);
    }

    void on_head(const platform::reply<platform::table_row>& reply)
    {
        std::optional<intent::head> head;
        if (reply.end == platform::platform_end::ok)
            head = intent::decode_head(reply.value.value, reply.value.version);
        {
            const std::lock_guard lock(m_mutex);
            m_reading = false;
            if (!head || head->revision <= m_keeper.revision())
                return;
        }
        m_objects.get_object(head->digest,
                             [self = this->shared_from_this(), head = *head](
                                 const platform::reply<std::string>& body) {
                                 if (body.end == platform::platform_end::ok)
                                     self->offer({head.revision, head.digest,
                                                  body.value, head.author},
                                                 "the object store");
                             });
    }

    Table& m_table;
    Objects& m_objects;
    peer::peer_client& m_peers;
    observers m_seen;
    std::string m_host;
    revision_handler m_on_revision;
    std::mutex m_order_mutex;
    mutable std::mutex m_mutex;
    intent::revision_store m_keeper;
    core::instant m_last_read;
    bool m_reading{false};
    bool m_fetching{false};
};

} // namespace plantainward::daemon
