#pragma once

#include <plantainward/http/client.hpp>
#include <plantainward/platform/host_list.hpp>
#include <plantainward/platform/object_store.hpp>
#include <plantainward/platform/table_service.hpp>

#include <memory>

#include <boost/asio/io_context.hpp>

namespace plantainward::platform
{

/// Client of the platform's three services over HTTP. Each call ends within the
/// time limit, with exactly one reply.
class http_platform
{
public:
    http_platform(boost::asio::io_context& io, core::address address,
                  core::millis timeout);

    /// Reads a row of the table service; `not_found` when there is none.
    void read_row(const std::string& name, reply_handler<table_row> handler);

    /// Writes a row that has the expected version, 0: that does not exist;
    /// `conflict` when it has another one. Replies with the new row.
    void compare_and_set(const std::string& name,
                         std::uint64_t expected_version,
                         const std::string& value,
                         reply_handler<table_row> handler);

    /// Stores an object.
    void put_object(const std::string& key, const std::string& body,
                    reply_handler<std::string> handler);

    /// Reads an object; `not_found` when there is none.
    void get_object(const std::string& key, reply_handler<std::string> handler);

    /// Reads the list of hosts.
    void list_hosts(reply_handler<listed_hosts> handler);

private:
    core::address m_address;
    core::millis m_timeout;
    std::shared_ptr<http::client> m_client;
};

static_assert(table_service<http_platform>);
static_assert(object_store<http_platform>);
static_assert(host_list<http_platform>);

} // namespace plantainward::platform
