#pragma once

#include <plantainward/coordinator/request.hpp>
#include <plantainward/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace plantainward::coordinator
{

/// Number that identifies a request within one coordinator.
using request_number = std::uint64_t;

/// Requests that wait for a connection.
///
/// Higher request classes go first. Within a class the tenants take turns, one
/// request each; the requests of one tenant keep their order.
class fair_queue
{
public:
    explicit fair_queue(std::size_t capacity) : m_capacity(capacity) {}

    /// Appends a request to the queue of its tenant; false when the capacity
    /// for its class is used up. Lower classes have less capacity, so they are
    /// refused first.
    bool push(request_class klass, const std::string& tenant,
              request_number number, core::instant now);

    /// Puts a request that was already popped back at the head of the queue of
    /// its tenant, regardless of the capacity.
    void push_front(request_class klass, const std::string& tenant,
                    request_number number, core::instant queued_at);

    /// The request that `pop()` would return; empty when none waits.
    std::optional<request_number> front() const;

    /// Removes and returns the next request; empty when none waits.
    std::optional<request_number> pop();

    /// Removes a request; false when it is not queued.
    bool remove(request_number number);

    /// Removes and returns the requests that were queued before an instant.
    std::vector<request_number> remove_older(core::instant oldest_kept);

    std::size_t size() const { return m_size; }

private:
    struct queued_request
    {
        request_number number;
        core::instant queued_at;
    };

    struct tenant_queue
    {
        std::string tenant;
        std::deque<queued_request> requests;
    };

    tenant_queue& queue_of(request_class klass, const std::string& tenant);
    std::size_t capacity_of(request_class klass) const;

    std::size_t m_capacity;
    std::size_t m_size{0};
    /// For each class the queues of its tenants; the first one is served next.
    std::array<std::list<tenant_queue>, 3> m_tenant_queues;
};

} // namespace plantainward::coordinator
