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

/// Number of a request at its coordinator.
using request_number = std::uint64_t;

/// Requests that wait for a connection: by class, then by turns of tenants.
class fair_queue
{
public:
    explicit fair_queue(std::size_t capacity) : m_capacity(capacity) {}

    /// Adds a request at the end of its tenant's line; false when its class
    /// has no room. Lower classes lose their room first.
    bool push(request_class klass, const std::string& tenant,
              request_number number, core::instant now);

    /// Puts a request that had left the queue back at the head of its line.
    void push_front(request_class klass, const std::string& tenant,
                    request_number number, core::instant since);

    /// The request whose turn is next.
    std::optional<request_number> front() const;

    /// Removes and returns the request whose turn is next.
    std::optional<request_number> pop();

    /// Removes one request; false when it is not here.
    bool remove(request_number number);

    /// Removes and returns the requests that were added before an instant.
    std::vector<request_number> remove_older(core::instant limit);

    std::size_t size() const { return m_size; }

private:
    struct waiting
    {
        request_number number;
        core::instant since;
    };

    struct tenant_line
    {
        std::string tenant;
        std::deque<waiting> requests;
    };

    tenant_line& line_of(request_class klass, const std::string& tenant);
    std::size_t room_of(request_class klass) const;

    std::size_t m_capacity;
    std::size_t m_size{0};
    /// For each class the lines of its tenants; the first one has its turn.
    std::array<std::list<tenant_line>, 3> m_lines;
};

} // namespace plantainward::coordinator
