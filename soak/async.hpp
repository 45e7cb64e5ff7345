#pragma once

#include <chrono>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace soak
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Completion token: the coroutine goes on with the error and the result.
constexpr auto use_result = asio::as_tuple(asio::use_awaitable);

/// GCC 12 copies temporaries of an awaited call byte by byte, so coroutines
/// take texts and containers by reference to named objects.
using task = asio::awaitable<void>;

inline task pause(std::chrono::microseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(use_result);
}

/// Starts a coroutine that nobody waits for.
template <class Start>
void spawn(asio::io_context& io, Start start)
{
    asio::co_spawn(io, std::move(start), asio::detached);
}

} // namespace soak
