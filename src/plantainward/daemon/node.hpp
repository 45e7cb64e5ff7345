#pragma once

#include <plantainward/settings/settings.hpp>

#include <memory>
#include <optional>

#include <boost/asio/io_context.hpp>

namespace plantainward::daemon
{

/// One proxy: all its parts on one input/output context.
class node
{
public:
    /// Starts a proxy; empty optional with a reason on failure.
    static std::optional<node> start(boost::asio::io_context& io,
                                     const settings::settings& options);

    node(node&&) noexcept;
    node& operator=(node&&) noexcept;
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /// Begins a graceful shutdown; the context stops at its end.
    void drain();

private:
    struct impl;
    explicit node(std::shared_ptr<impl> state);
    std::shared_ptr<impl> m_impl;
};

} // namespace plantainward::daemon
