// Stand-in platform: table service, object store and host list in one process.

#include <platform/platform_server.hpp>

#include <plantainward/core/address.hpp>
#include <plantainward/core/last_error.hpp>

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

int main(int argc, char** argv)
{
    using namespace plantainward;
    TCLAP::CmdLine line("Stand-in platform for tests", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "ip:port", true, "",
                                        "address", line);
    line.parse(argc, argv);
    const auto address = core::parse_address(listen.getValue());
    boost::asio::io_context io;
    standin::platform_server platform;
    auto server =
        address ? http::server::listen(*address, {}, io,
                                       [&](http::connection_id,
                                           const http::request& message,
                                           const http::responder& respond) {
                                           platform.handle(message, respond);
                                       })
                : std::nullopt;
    if (!server)
    {
        std::cerr << "standin_platformd: " << core::last_error().text << '\n';
        return 1;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    std::cout << "ready " << core::to_string(*address) << std::endl;
    io.run();
    return 0;
}
