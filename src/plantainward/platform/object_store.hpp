#pragma once

#include <plantainward/platform/reply.hpp>

#include <concepts>
#include <string>

namespace plantainward::platform
{

/// The platform's object store. The key of an object is its digest, so an
/// object is never changed.
template <class T>
concept object_store = requires(T& t, const std::string& key,
                                const std::string& body,
                                reply_handler<std::string> handler)
{
    t.put_object(key, body, handler);
    t.get_object(key, handler);
};

} // namespace plantainward::platform
