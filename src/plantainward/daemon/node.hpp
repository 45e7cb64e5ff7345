#pragma once

#include <plantainward/settings/settings.hpp>

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

namespace plantainward::daemon
{

/// One proxy with all its components on one I/O context.
class node
{
public:
    /// Starts a proxy; on failure an empty optional, with the reason in
    /// `core::last_error`.
    static std::optional<node> start(boost::asio::io_context& io,
                                     const settings::settings& options);

    node(node&&) noexcept;
    node& operator=(node&&) noexcept;
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /// Begins a graceful shutdown, which stops the context when it is complete.
    /// May be called from any thread.
    void drain();

private:
    struct impl;
    explicit node(std::shared_ptr<impl> state);
    std::shared_ptr<impl> m_impl;
};

} // namespace plantainward::daemon
