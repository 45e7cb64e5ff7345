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

/// Called with each revision that comes into force, in growing order.
using revision_handler = std::function<void(const intent::accepted_revision&)>;

/// Keeps this proxy's configuration at the newest accepted revision.
///
/// Revisions usually come from peers. The head row of the platform's table is
/// read as well, so that a revision arrives without any peer; the hosts share
/// one limit on the rate of these reads.
template <platform::table_service Table, platform::object_store Objects>
class configuration
    : public std::enable_shared_from_this<configuration<Table, Objects>>
{
public:
    configuration(Table& table, Objects& objects, peer::peer_client& peers,
                  telemetry outputs, std::string host,
                  revision_handler on_revision)
        : m_table(table), m_objects(objects), m_peers(peers),
          m_telemetry(outputs), m_host(std::move(host)),
          m_on_revision(std::move(on_revision))
    {
    }

    /// Reads the head row if the read interval has passed. The interval grows
    /// with the number of live hosts.
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

    /// Requests the revision in force at a peer; does nothing while such a
    /// request is in flight.
    void fetch_from(const core::host& peer)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (std::exchange(m_fetching, true))
                return;
        }
        m_peers.call(
            peer.peer, peer::frame_kind::fetch_revision, {}, fetch_timeout,
            [self = this->shared_from_this()](peer::call_outcome outcome,
                                              const peer::frame& answer) {
                {
                    const std::lock_guard lock(self->m_mutex);
                    self->m_fetching = false;
                }
                if (outcome != peer::call_outcome::answered)
                    return;
                const auto document = peer::decode_revision(answer.payload);
                if (document)
                    self->accept(*document, "a peer");
            });
    }

    /// Accepts a revision that is newer than the one in force and valid;
    /// `source` names its origin in the event. True when this revision is in
    /// force afterwards; one that is not valid is recorded as rejected.
    bool accept(const peer::revision_document& document, const char* source)
    {
        // Held while the handler runs, so that revisions reach it in the order
        // in which they were accepted.
        const std::lock_guard order_lock(m_order_mutex);
        std::optional<intent::accepted_revision> accepted;
        {
            const std::lock_guard lock(m_mutex);
            if (document.revision <= m_revisions.revision())
                return document.revision == m_revisions.revision();
            if (m_revisions.accept(document.revision, document.digest,
                                   document.body, document.writer))
                accepted = m_revisions.current();
        }
        if (!accepted)
        {
            m_telemetry.record({observe::event_kind::revision_rejected,
                                m_host,
                                -1,
                                {},
                                core::last_error().text});
            return false;
        }
        m_telemetry.record({observe::event_kind::revision_in_force,
                            m_host,
                            -1,
                            {},
                            "revision " + std::to_string(accepted->revision) +
                                " by " + accepted->author + ", from " +
                                source});
        m_on_revision(*accepted);
        return true;
    }

    /// The revision in force, as sent to peers; revision 0 when there is none.
    peer::revision_document document() const
    {
        const std::lock_guard lock(m_mutex);
        const auto& current = m_revisions.current();
        if (!current)
            return {};
        return {current->revision, current->digest, current->body,
                current->author};
    }

private:
    static constexpr core::millis min_read_interval{1000};
    static constexpr core::millis fetch_timeout{1000};
    /// Limit on the reads of the head row by all hosts together.
    static constexpr std::size_t max_fleet_reads_per_second = 50;

    static core::millis read_interval(std::size_t live_hosts)
    {
        const auto fleet_interval = core::millis(
            1000 * static_cast<core::millis::rep>(live_hosts) /
            static_cast<core::millis::rep>(max_fleet_reads_per_second));
        return std::max(min_read_interval, fleet_interval);
    }

    void on_head(const platform::reply<platform::table_row>& reply)
    {
        std::optional<intent::head> head;
        if (reply.outcome == platform::platform_outcome::ok)
            head = intent::decode_head(reply.value.value, reply.value.version);
        {
            const std::lock_guard lock(m_mutex);
            m_reading = false;
            if (!head || head->revision <= m_revisions.revision())
                return;
        }
        m_objects.get_object(
            head->digest, [self = this->shared_from_this(), head = *head](
                              const platform::reply<std::string>& body) {
                if (body.outcome == platform::platform_outcome::ok)
                    self->accept(
                        {head.revision, head.digest, body.value, head.author},
                        "the object store");
            });
    }

    Table& m_table;
    Objects& m_objects;
    peer::peer_client& m_peers;
    telemetry m_telemetry;
    std::string m_host;
    revision_handler m_on_revision;
    std::mutex m_order_mutex;
    mutable std::mutex m_mutex;
    intent::revision_store m_revisions;
    core::instant m_last_read;
    bool m_reading{false};
    bool m_fetching{false};
};

} // namespace plantainward::daemon
