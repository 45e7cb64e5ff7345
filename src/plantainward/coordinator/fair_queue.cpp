#include <plantainward/coordinator/fair_queue.hpp>

#include <algorithm>

namespace plantainward::coordinator
{

fair_queue::tenant_line& fair_queue::line_of(request_class klass,
                                             const std::string& tenant)
{
    auto& lines = m_lines.at(static_cast<std::size_t>(klass));
    const auto found =
        std::find_if(lines.begin(), lines.end(), [&](const tenant_line& line) {
            return line.tenant == tenant;
        });
    if (found != lines.end())
        return *found;
    lines.push_back({tenant, {}});
    return lines.back();
}

std::size_t fair_queue::room_of(request_class klass) const
{
    if (klass == request_class::booking)
        return m_capacity;
    return klass == request_class::view ? m_capacity * 3 / 4 : m_capacity / 2;
}

bool fair_queue::push(request_class klass, const std::string& tenant,
                      request_number number, core::instant now)
{
    if (m_size >= room_of(klass))
        return false;
    line_of(klass, tenant).requests.push_back({number, now});
    ++m_size;
    return true;
}

void fair_queue::push_front(request_class klass, const std::string& tenant,
                            request_number number, core::instant since)
{
    line_of(klass, tenant).requests.push_front({number, since});
    ++m_size;
}

std::optional<request_number> fair_queue::front() const
{
    for (const auto& lines : m_lines)
        if (!lines.empty())
            return lines.front().requests.front().number;
    return std::nullopt;
}

std::optional<request_number> fair_queue::pop()
{
    for (auto& lines : m_lines)
    {
        if (lines.empty())
            continue;
        auto& line = lines.front();
        const auto number = line.requests.front().number;
        line.requests.pop_front();
        --m_size;
        if (line.requests.empty())
            lines.pop_front();
        else
            lines.splice(lines.end(), lines, lines.begin());
        return number;
    }
    return std::nullopt;
}

bool fair_queue::remove(request_number number)
{
    for (auto& lines : m_lines)
        for (auto line = lines.begin(); line != lines.end(); ++line)
        {
            const auto removed =
                std::erase_if(line->requests, [&](const waiting& one) {
                    return one.number == number;
                });
            if (removed == 0)
                continue;
            m_size -= removed;
            if (line->requests.empty())
                lines.erase(line);
            return true;
        }
    return false;
}

std::vector<request_number> fair_queue::remove_older(core::instant limit)
{
    std::vector<request_number> removed;
    for (auto& lines : m_lines)
    {
        for (auto& line : lines)
            while (!line.requests.empty() &&
                   line.requests.front().since < limit)
            {
                removed.push_back(line.requests.front().number);
                line.requests.pop_front();
                --m_size;
            }
        lines.remove_if(
            [](const tenant_line& line) { return line.requests.empty(); });
    }
    return removed;
}

} // namespace plantainward::coordinator
