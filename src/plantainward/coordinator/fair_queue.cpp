#include <plantainward/coordinator/fair_queue.hpp>

#include <algorithm>

namespace plantainward::coordinator
{

fair_queue::tenant_queue& fair_queue::queue_of(request_class klass,
                                               const std::string& tenant)
{
    auto& queues = m_tenant_queues.at(static_cast<std::size_t>(klass));
    const auto found = std::find_if(
        queues.begin(), queues.end(),
        [&](const tenant_queue& queue) { return queue.tenant == tenant; });
    if (found != queues.end())
        return *found;
    queues.push_back({tenant, {}});
    return queues.back();
}

std::size_t fair_queue::capacity_of(request_class klass) const
{
    if (klass == request_class::booking)
        return m_capacity;
    return klass == request_class::view ? m_capacity * 3 / 4 : m_capacity / 2;
}

bool fair_queue::push(request_class klass, const std::string& tenant,
                      request_number number, core::instant now)
{
    if (m_size >= capacity_of(klass))
        return false;
    queue_of(klass, tenant).requests.push_back({number, now});
    ++m_size;
    return true;
}

void fair_queue::push_front(request_class klass, const std::string& tenant,
                            request_number number, core::instant queued_at)
{
    queue_of(klass, tenant).requests.push_front({number, queued_at});
    ++m_size;
}

std::optional<request_number> fair_queue::front() const
{
    for (const auto& queues : m_tenant_queues)
        if (!queues.empty())
            return queues.front().requests.front().number;
    return std::nullopt;
}

std::optional<request_number> fair_queue::pop()
{
    for (auto& queues : m_tenant_queues)
    {
        if (queues.empty())
            continue;
        auto& queue = queues.front();
        const auto number = queue.requests.front().number;
        queue.requests.pop_front();
        --m_size;
        if (queue.requests.empty())
            queues.pop_front();
        else
            queues.splice(queues.end(), queues, queues.begin());
        return number;
    }
    return std::nullopt;
}

bool fair_queue::remove(request_number number)
{
    for (auto& queues : m_tenant_queues)
        for (auto queue = queues.begin(); queue != queues.end(); ++queue)
        {
            const auto removed = std::erase_if(
                queue->requests, [&](const queued_request& queued) {
                    return queued.number == number;
                });
            if (removed == 0)
                continue;
            m_size -= removed;
            if (queue->requests.empty())
                queues.erase(queue);
            return true;
        }
    return false;
}

std::vector<request_number> fair_queue::remove_older(core::instant oldest_kept)
{
    std::vector<request_number> removed;
    for (auto& queues : m_tenant_queues)
    {
        for (auto& queue : queues)
            while (!queue.requests.empty() &&
                   queue.requests.front().queued_at < oldest_kept)
            {
                removed.push_back(queue.requests.front().number);
                queue.requests.pop_front();
                --m_size;
            }
        queues.remove_if(
            [](const tenant_queue& queue) { return queue.requests.empty(); });
    }
    return removed;
}

} // namespace plantainward::coordinator
