#pragma once

#include <plantainward/platform/host_list.hpp>
#include <plantainward/platform/object_store.hpp>
#include <plantainward/platform/table_service.hpp>

#include <map>
#include <string>

namespace standin
{

namespace platform = plantainward::platform;

/// The platform's table rows, objects and host list, in memory.
///
/// It models the concepts of the three services and calls each handler before
/// the call returns, so tests can also use it without a server.
class platform_state
{
public:
    void read_row(const std::string& name,
                  const platform::reply_handler<platform::table_row>& handler);
    void compare_and_set(
        const std::string& name, std::uint64_t expected,
        const std::string& value,
        const platform::reply_handler<platform::table_row>& handler);
    void put_object(const std::string& key, const std::string& body,
                    const platform::reply_handler<std::string>& handler);
    void get_object(const std::string& key,
                    const platform::reply_handler<std::string>& handler);
    void
    list_hosts(const platform::reply_handler<platform::listed_hosts>& handler);

    /// While down, each call ends at once as not sent.
    bool down{false};
    /// Number of the next writes that take effect but get no answer.
    int drop_answers{0};
    /// The same for writes of rows only.
    int drop_row_answers{0};
    platform::listed_hosts hosts;

private:
    platform::platform_outcome outcome_of_write();

    std::map<std::string, platform::table_row> m_rows;
    std::map<std::string, std::string> m_objects;
};

static_assert(platform::table_service<platform_state>);
static_assert(platform::object_store<platform_state>);
static_assert(platform::host_list<platform_state>);

} // namespace standin
