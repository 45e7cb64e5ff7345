#include "empty_servers.hpp"

#include <plantainward/http/server.hpp>

#include <pistache/endpoint.h>

namespace bench
{

namespace
{

constexpr int threads = 4;

class empty_handler : public Pistache::Http::Handler
{
public:
    HTTP_PROTOTYPE(empty_handler)

    void onRequest(const Pistache::Http::Request&,
                   Pistache::Http::ResponseWriter response) override
    {
        response.send(Pistache::Http::Code::Ok, "{}");
    }
};

int serve_endpoint(int port)
{
    Pistache::Http::Endpoint server(
        Pistache::Address("127.0.0.1", static_cast<std::uint16_t>(port)));
    server.init(Pistache::Http::Endpoint::options().threads(threads).flags(
        Pistache::Tcp::Options::ReuseAddr));
    server.setHandler(Pistache::Http::make_handler<empty_handler>());
    server.serve();
    return 0;
}

int serve_handler(int port)
{
    namespace http = plantainward::http;
    boost::asio::io_context io;
    http::server_limits limits;
    limits.threads = threads;
    const auto server = http::server::listen(
        {"127.0.0.1", static_cast<std::uint16_t>(port)}, limits, io,
        [](http::connection_id, const http::request&,
           const http::responder& respond) {
            http::response empty;
            empty.body = "{}";
            respond(std::move(empty));
        });
    if (!server)
        return 1;
    io.run();
    return 0;
}

} // namespace

int serve_empty(const std::string& kind, int port)
{
    return kind == "endpoint" ? serve_endpoint(port) : serve_handler(port);
}

} // namespace bench
