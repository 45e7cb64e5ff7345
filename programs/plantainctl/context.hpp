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

/// Addresses and options from the command line and the environment.
struct context
{
    std::optional<core::address> platform;
    /// Admin addresses of proxies.
    std::vector<core::address> proxies;
    /// Peer key; authorizes writes through an admin address.
    std::string key;
    /// Recorded as the author of a revision.
    std::string author;
    /// Prints JSON instead of text.
    bool json{false};
};

/// The revision in force with its files.
struct revision_in_force
{
    intent::head head;
    intent::bundle files;
};

/// Sends a request to the admin address of a proxy and returns the JSON answer.
/// Empty on failure or on a status other than 200; core::last_error() says why.
std::optional<boost::json::value> send_to_proxy(const core::address& proxy,
                                                const http::request& message);

/// Reads the revision in force from the platform, or from the first proxy that
/// answers when the platform does not. Revision 0 when there is none yet; empty
/// when nothing answers, and core::last_error() says why.
std::optional<revision_in_force> read_in_force(const context& target);

/// Prints a value as JSON.
void print(const boost::json::value& value);

} // namespace plantainctl
