#pragma once

#include <plantainward/http/client.hpp>
#include <plantainward/platform/host_list.hpp>
#include <plantainward/platform/object_store.hpp>
#include <plantainward/platform/table_service.hpp>

#include <memory>

#include <boost/asio/io_context.hpp>

namespace plantainward::platform
{

/// The platform's three services over their HTTP protocol.
class http_platform
{
public:
    http_platform(boost::asio::io_context& io, core::address where,
                  core::millis timeout);

    void read_row(const std::string& name, reply_handler<table_row> handler);
    void compare_and_set(const std::string& name, std::uint64_t expected,
                         const std::string& value,
                         reply_handler<table_row> handler);
    void put_object(const std::string& key, const std::string& body,
                    reply_handler<std::string> handler);
    void get_object(const std::string& key, reply_handler<std::string> handler);
    void list_hosts(reply_handler<listed_hosts> handler);

private:
    core::address m_where;
    core::millis m_timeout;
    std::shared_ptr<http::client> m_client;
};

static_assert(table_service<http_platform>);
static_assert(object_store<http_platform>);
static_assert(host_list<http_platform>);

} // namespace plantainward::platform
