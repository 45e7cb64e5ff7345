#pragma once

#include <cstdint>
#include <functional>

namespace plantainward::platform
{

/// How a call to a service of the platform ended.
enum class platform_end : std::uint8_t
{
    ok,
    not_found,
    /// The row had another version than expected; nothing was written.
    conflict,
    /// The call was not sent.
    down,
    /// The call may have taken effect; its answer was lost.
    unknown
};

/// The end of a call and its value when it is `ok`.
template <class T>
struct reply
{
    platform_end end{platform_end::down};
    T value{};
};

/// Receives the end of a call, exactly once.
template <class T>
using reply_handler = std::function<void(reply<T>)>;

} // namespace plantainward::platform
