// Stand-in database; one process for each database of a service.

#include <database/database_server.hpp>

#include <plantainward/core/address.hpp>
#include <plantainward/core/last_error.hpp>

#include <csignal>
#include <iostream>
#include <thread>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

namespace
{

using namespace plantainward;

int serve(const core::address& address, int slots, std::size_t connection_limit,
          const standin::database_faults& faults)
{
    boost::asio::io_context io;
    auto database = std::make_shared<standin::database_server>(
        io, address, slots, connection_limit, faults);
    http::server_limits server_limits;
    server_limits.max_body_bytes = std::size_t{64} * 1024 * 1024;
    auto server = http::server::listen(
        address, server_limits, io,
        [&](http::connection_id connection, const http::request& message,
            http::responder respond) {
            database->handle(connection, message, std::move(respond));
        },
        [&](http::connection_id connection) {
            database->handle_close(connection);
        });
    if (!server)
    {
        std::cerr << "standin_databased: " << core::last_error().text << '\n';
        return 1;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { io.stop(); });
    std::cout << "ready " << core::to_string(address) << std::endl;
    std::thread second_thread([&] { io.run(); });
    io.run();
    second_thread.join();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Stand-in database for tests", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> listen("", "listen", "ip:port", true, "",
                                        "address", line);
    TCLAP::ValueArg<int> slots("", "slots", "number of slots", false, 3,
                               "count", line);
    TCLAP::ValueArg<int> connection_limit("", "connections", "connection limit",
                                          false, 50, "count", line);
    TCLAP::ValueArg<int> delay("", "delay-ms", "delay of each answer", false, 0,
                               "ms", line);
    TCLAP::ValueArg<int> lag("", "lag-ms", "replication lag", false, 0, "ms",
                             line);
    line.parse(argc, argv);
    const auto address = core::parse_address(listen.getValue());
    if (!address)
    {
        std::cerr << "standin_databased: --listen: " << core::last_error().text
                  << '\n';
        return 2;
    }
    standin::database_faults faults;
    faults.delay_ms = delay.getValue();
    faults.lag_ms = lag.getValue();
    return serve(*address, slots.getValue(),
                 static_cast<std::size_t>(connection_limit.getValue()), faults);
}
