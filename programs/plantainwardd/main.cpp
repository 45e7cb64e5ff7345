// plantainwardd: the proxy, one a host.

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
    for (const auto& one : settings::daemon_settings())
        std::cout << "  --" << one.name << "  " << one.meaning << " ["
                  << (one.default_value.empty() ? "must be given"
                                                : one.default_value)
                  << "]\n";
    std::cout << "  --version, --help, --print-settings, --settings-page, "
                 "--errors-page\n\n"
                 "Each flag has a variable, such as PLANTAINWARD_HOST_NAME.\n"
                 "Exit codes: 0 graceful shutdown, 1 cannot start, 2 bad "
                 "setting.\n";
}

bool answer_question(const std::vector<std::string>& flags)
{
    const auto asks = [&](const char* flag) {
        return std::find(flags.begin(), flags.end(), flag) != flags.end();
    };
    if (asks("--help"))
        print_help();
    else if (asks("--version"))
        std::cout << "plantainwardd 0.1.0\n";
    else if (asks("--settings-page"))
        std::cout << settings::settings_page();
    else if (asks("--errors-page"))
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
        signals.async_wait([&](boost::system::error_code again, int) {
            if (!again)
                io.stop();
        });
    });
    observe::log(observe::log_level::info, "ready");
    std::vector<std::thread> threads;
    for (std::int64_t i = 1; i < options.number("threads"); ++i)
        threads.emplace_back([&] { io.run(); });
    io.run();
    for (auto& one : threads)
        one.join();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<std::string> flags(argv + 1, argv + argc);
    if (answer_question(flags))
        return 0;
    const auto prints =
        std::find(flags.begin(), flags.end(), "--print-settings");
    const bool print = prints != flags.end();
    if (print)
        flags.erase(prints);
    const auto options = settings::settings::create(flags, variable);
    if (!options)
    {
        std::cerr << "plantainwardd: " << core::last_error().text << '\n';
        return exit_bad_setting;
    }
    if (print)
    {
        std::cout << options->print();
        return 0;
    }
    return serve(*options);
}
