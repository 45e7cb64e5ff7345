#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/http/client.hpp>
#include <plantainward/intent/bundle.hpp>
#include <plantainward/intent/head.hpp>

#include <optional>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace plantainctl
{

namespace core = plantainward::core;
namespace http = plantainward::http;
namespace intent = plantainward::intent;

/// What the command line says about the system.
struct context
{
    std::optional<core::address> platform;
    /// Admin addresses of proxies.
    std::vector<core::address> proxies;
    std::string key;
    std::string author;
    bool json{false};
};

/// The configuration in force with its files.
struct revision_in_force
{
    intent::head head;
    intent::bundle files;
};

/// Asks a proxy's admin interface; empty optional with a reason on failure.
std::optional<boost::json::value> ask_proxy(const core::address& proxy,
                                            const http::request& message);

/// Reads the configuration in force from the platform, or from a proxy when
/// the platform does not answer. Revision 0 when there is none.
std::optional<revision_in_force> read_in_force(const context& where);

/// Prints a value as JSON.
void print(const boost::json::value& what);

} // namespace plantainctl
