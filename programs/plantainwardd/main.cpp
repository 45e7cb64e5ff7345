// plantainwardd: the proxy; one process per host.

#include <plantainward/core/error_page.hpp>
#include <plantainward/core/last_error.hpp>
#include <plantainward/daemon/node.hpp>
#include <plantainward/observe/log.hpp>
#include <plantainward/settings/setting.hpp>
#include <plantainward/settings/settings.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <vector>

#include <boost/asio/signal_set.hpp>

namespace
{

using namespace plantainward;

constexpr int exit_cannot_start = 1;
constexpr int exit_bad_setting = 2;

std::optional<std::string> variable(const std::string& name)
{
    const char* value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>(value);
}

void print_help()
{
    std::cout << "plantainwardd: database proxy with session consistency\n\n";
    for (const auto& setting : settings::daemon_settings())
        std::cout << "  --" << setting.name << "  " << setting.meaning << " ["
                  << (setting.default_value.empty() ? "must be given"
                                                    : setting.default_value)
                  << "]\n";
    std::cout << "  --version, --help, --print-settings, --settings-page, "
                 "--errors-page\n\n"
                 "Each flag has a variable, such as PLANTAINWARD_HOST_NAME.\n"
                 "Exit codes: 0 graceful shutdown, 1 cannot start, 2 bad "
                 "setting.\n";
}

/// Prints the page that a flag asks for; false when there is no such flag.
bool print_requested_page(const std::vector<std::string>& flags)
{
    const auto has_flag = [&](const char* flag) {
        return std::find(flags.begin(), flags.end(), flag) != flags.end();
    };
    if (has_flag("--help"))
        print_help();
    else if (has_flag("--version"))
        std::cout << "plantainwardd 0.1.0\n";
    else if (has_flag("--settings-page"))
        std::cout << settings::settings_page();
    else if (has_flag("--errors-page"))
        std::cout << core::error_page();
    else
        return false;
    return true;
}

int serve(const settings::settings& options)
{
    observe::start_logging(
        *observe::log_level_names.find(options.text("log-level")),
        *observe::log_format_names.find(options.text("log-format")),
        options.text("host-name"));
    boost::asio::io_context io;
    auto node = daemon::node::start(io, options);
    if (!node)
    {
        std::cerr << "plantainwardd: " << core::last_error().text << '\n';
        return exit_cannot_start;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code error, int) {
        if (error)
            return;
        node->drain();
        // A second signal ends the process at once.
        signals.async_wait([&](boost::system::error_code wait_error, int) {
            if (!wait_error)
                io.stop();
        });
    });
    observe::log(observe::log_level::info, "ready");
    std::vector<std::thread> threads;
    for (std::int64_t i = 1; i < options.number("threads"); ++i)
        threads.emplace_back([&] { io.run(); });
    io.run();
    for (auto& thread : threads)
        thread.join();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> flags(argv + 1, argv + argc);
    if (print_requested_page(flags))
        return 0;
    const auto print_flag =
        std::find(flags.begin(), flags.end(), "--print-settings");
    const bool prints_settings = print_flag != flags.end();
    if (prints_settings)
        flags.erase(print_flag);
    const auto options = settings::settings::create(flags, variable);
    if (!options)
    {
        std::cerr << "plantainwardd: " << core::last_error().text << '\n';
        return exit_bad_setting;
    }
    if (prints_settings)
    {
        std::cout << options->print();
        return 0;
    }
    return serve(*options);
}
