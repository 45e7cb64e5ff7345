#include <plantainward/peer/peer_client.hpp>

#include <plantainward/peer/peer_link.hpp>

#include <utility>

namespace plantainward::peer
{

void peer_client::call(const core::address& address, frame_kind kind,
                       std::string payload, core::millis timeout,
                       call_handler handler)
{
    std::shared_ptr<peer_link> link;
    {
        const std::lock_guard lock(m_mutex);
        auto& known_link = m_links[address];
        if (!known_link)
            known_link = std::make_shared<peer_link>(m_io, address, m_options);
        link = known_link;
    }
    link->call(kind, std::move(payload), timeout, std::move(handler));
}

void peer_client::close()
{
    const std::lock_guard lock(m_mutex);
    for (const auto& [address, link] : m_links)
        link->close();
}

} // namespace plantainward::peer
