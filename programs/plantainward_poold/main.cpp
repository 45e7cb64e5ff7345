// plantainward_poold: the proxy on the users' platform, one a host.

#include <host_process.hpp>
#include <host_settings.hpp>

#include <plantainward/core/last_reason.hpp>
#include <plantainward/observe/log.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

namespace
{

using namespace plantainward;

constexpr int exit_cannot_start = 1;
constexpr int exit_bad_setting = 2;
constexpr const char* default_settings = "/etc/plantainward/node.json";

int serve(const platform_adapter::host_settings& settings)
{
    boost::asio::io_context io(1);
    auto host = platform_adapter::host_process::start(io, settings);
    if (!host)
    {
        std::cerr << "plantainward_poold: " << core::last_reason().text << '\n';
        return exit_cannot_start;
    }
    boost::asio::signal_set stops(io, SIGTERM, SIGINT);
    stops.async_wait([&](boost::system::error_code error, int) {
        if (!error)
            host->drain();
    });
    boost::asio::signal_set reloads(io, SIGHUP);
    observe::log(observe::log_level::info, "started");
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const char* from_platform = std::getenv("PLANTAINWARD_SETTINGS");
    std::string path =
        from_platform == nullptr ? default_settings : from_platform;
    std::string level = "info";
    try
    {
        TCLAP::CmdLine line("database proxy with session consistency", ' ',
                            "0.1.0");
        TCLAP::ValueArg<std::string> settings("", "settings",
                                              "settings file of the platform",
                                              false, path, "path", line);
        TCLAP::ValueArg<std::string> lowest("", "log-level",
                                            "debug, info, warning or error",
                                            false, level, "level", line);
        line.parse(argc, argv);
        path = settings.getValue();
        level = lowest.getValue();
    }
    catch (const TCLAP::ArgException& error)
    {
        std::cerr << "plantainward_poold: " << error.error() << ' '
                  << error.argId() << '\n';
        return exit_bad_setting;
    }
    const auto lowest = observe::log_level_names.find(level);
    const auto settings = platform_adapter::read_settings(path);
    if (!lowest || !settings)
    {
        std::cerr << "plantainward_poold: "
                  << (lowest ? core::last_reason().text
                             : "--log-level: unknown level " + level)
                  << '\n';
        return exit_bad_setting;
    }
    observe::start_logging(*lowest, observe::log_format::json, settings->name);
    return serve(*settings);
}
