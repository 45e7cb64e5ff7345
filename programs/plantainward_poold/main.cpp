// plantainward_poold: the proxy on the users' platform; one process per host.

#include <host_process.hpp>
#include <host_settings.hpp>

#include <plantainward/core/last_error.hpp>
#include <plantainward/observe/log_event.hpp>

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
constexpr const char* default_settings_path = "/etc/plantainward/node.json";

void reload_on_signal(boost::asio::signal_set& signals,
                      platform_adapter::host_process& host,
                      const std::string& path)
{
    signals.async_wait([&](boost::system::error_code error, int) {
        if (error)
            return;
        host.reload(platform_adapter::read_settings(path));
        reload_on_signal(signals, host, path);
    });
}

int serve(const platform_adapter::host_settings& settings,
          const std::string& path)
{
    // One thread serves callers and databases; the readiness server has its
    // own, so that a busy host still answers the balancer's readiness checks.
    boost::asio::io_context io(1);
    // Signals that arrive while the host starts are handled afterwards.
    boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT);
    boost::asio::signal_set reload_signals(io, SIGHUP);
    auto host = platform_adapter::host_process::start(io, settings);
    if (!host)
    {
        std::cerr << "plantainward_poold: " << core::last_error().text << '\n';
        return exit_cannot_start;
    }
    stop_signals.async_wait([&](boost::system::error_code error, int) {
        if (!error)
            host->drain();
    });
    reload_on_signal(reload_signals, *host, path);
    io.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    const char* settings_variable = std::getenv("PLANTAINWARD_SETTINGS");
    std::string path = settings_variable == nullptr ? default_settings_path
                                                    : settings_variable;
    try
    {
        TCLAP::CmdLine line("database proxy with session consistency", ' ',
                            "0.1.0");
        TCLAP::ValueArg<std::string> settings("", "settings",
                                              "settings file of the platform",
                                              false, path, "path", line);
        TCLAP::SwitchArg events_page("", "events-page",
                                     "print the table of log events", line);
        line.parse(argc, argv);
        path = settings.getValue();
        if (events_page.getValue())
        {
            std::cout << observe::log_event_page();
            return 0;
        }
    }
    catch (const TCLAP::ArgException& error)
    {
        std::cerr << "plantainward_poold: " << error.error() << ' '
                  << error.argId() << '\n';
        return exit_bad_setting;
    }
    const auto settings = platform_adapter::read_settings(path);
    if (!settings)
    {
        std::cerr << "plantainward_poold: " << core::last_error().text << '\n';
        return exit_bad_setting;
    }
    return serve(*settings, path);
}
