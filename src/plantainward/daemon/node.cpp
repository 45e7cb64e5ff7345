#include <plantainward/daemon/node.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/core/last_error.hpp>
#include <plantainward/daemon/admin.hpp>
#include <plantainward/daemon/configuration.hpp>
#include <plantainward/daemon/gateway.hpp>
#include <plantainward/daemon/service_directory.hpp>
#include <plantainward/membership/membership.hpp>
#include <plantainward/peer/datagram_socket.hpp>
#include <plantainward/peer/peer_server.hpp>
#include <plantainward/platform/http_platform.hpp>

#include <algorithm>
#include <chrono>
#include <random>
#include <sstream>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace plantainward::daemon
{

namespace
{

constexpr core::millis tick_interval{10};
constexpr core::millis host_list_interval{2000};
/// Until the first list has been read.
constexpr core::millis first_host_list_interval{500};
constexpr core::millis platform_timeout{2000};
/// Bytes of the IPv4 and UDP headers of a datagram.
constexpr std::size_t datagram_overhead = 28;

using platform_configuration =
    configuration<platform::http_platform, platform::http_platform>;

// The wall-clock time in ms, so that a later start has a higher incarnation. If
// the clock was set back, membership raises the incarnation as soon as this
// host refutes a state that others keep from its earlier run.
std::uint64_t new_incarnation()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<core::millis>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
}

std::vector<std::string> split_keys(const std::string& text)
{
    std::vector<std::string> keys;
    std::istringstream in(text);
    for (std::string key; std::getline(in, key, ',');)
        keys.push_back(key);
    return keys;
}

std::string random_secret()
{
    std::random_device source;
    std::string secret;
    for (int i = 0; i < 8; ++i)
        secret += std::to_string(source());
    return secret;
}

api_limits limits_of(const settings::settings& options)
{
    api_limits limits;
    limits.default_deadline = options.duration("default-deadline-ms");
    limits.max_deadline = options.duration("max-deadline-ms");
    return limits;
}

} // namespace

struct node::impl : std::enable_shared_from_this<node::impl>
{
    impl(boost::asio::io_context& context,
         const settings::settings& node_options, session::token_codec tokens)
        : io(context), options(node_options), host(options.text("host-name")),
          incarnation(new_incarnation()),
          instance(host + "." + std::to_string(incarnation)),
          events(static_cast<std::size_t>(options.number("journal-size"))),
          gate(io),
          platform(io, options.address("platform-address"), platform_timeout),
          peers(io), datagram_codec(options.text("peer-key")),
          members(self_host(), incarnation, membership_timing(),
                  incarnation ^ core::placement_hash(host, {})),
          services(gate, {events, metrics}, options, instance, random_secret(),
                   [this](const std::vector<core::host>& to,
                          const failover::opinion& opinion) {
                       broadcast(to, opinion);
                   }),
          caller_gateway(services, peers, {events, metrics}, std::move(tokens),
                         limits_of(options), instance),
          admin_interface(services, {events, metrics}, make_admin_callbacks(),
                          host, options.text("peer-key")),
          timer(io)
    {
    }

    core::host self_host() const
    {
        return {host, options.text("failure-domain"),
                options.address("caller-address"),
                options.address("peer-address")};
    }

    membership::membership_options membership_timing() const
    {
        membership::membership_options timing;
        timing.period = options.duration("membership-period-ms");
        return timing;
    }

    admin_callbacks make_admin_callbacks()
    {
        return {[this] { return config->document(); },
                [this](const peer::revision_document& document) {
                    return config->accept(document, "an operator");
                },
                [this] {
                    const std::lock_guard lock(members_mutex);
                    return members.live();
                },
                [this] {
                    begin_drain();
                }};
    }

    telemetry make_telemetry() { return {events, metrics}; }

    bool open_listeners();
    void on_datagram(std::string_view bytes);
    void on_frame(peer::frame_kind kind, const std::string& payload,
                  peer::frame_responder respond);
    void on_revision(const intent::accepted_revision& revision);
    void on_member_update(const membership::member_update& update);
    void on_notice(const membership::notice_action& notice);
    void broadcast(const std::vector<core::host>& to,
                   const failover::opinion& opinion);
    template <class Event>
    void drive_members(Event event);
    void carry_out(membership::action& action);
    void rebuild_routes();
    void read_host_list();
    void tick();
    void schedule_tick();
    void begin_drain();
    void check_drain();

    boost::asio::io_context& io;
    settings::settings options;
    std::string host;
    std::uint64_t incarnation;
    std::string instance;
    observe::journal events;
    observe::metrics metrics;
    upstream::http_gate gate;
    platform::http_platform platform;
    peer::peer_client peers;
    membership::message_codec datagram_codec;
    std::mutex members_mutex;
    membership::membership members;
    service_directory services;
    gateway caller_gateway;
    admin admin_interface;
    std::shared_ptr<platform_configuration> config;
    std::mutex routes_mutex;
    intent::routing_intent intent;
    std::optional<http::server> caller_server;
    std::optional<http::server> admin_server;
    std::optional<peer::peer_server> frame_server;
    std::shared_ptr<peer::datagram_socket> socket;
    boost::asio::steady_timer timer;
    core::instant last_host_list_read;
    std::uint64_t reported_control_bytes{0};
    std::atomic<bool> has_host_list{false};
    std::atomic<bool> draining{false};
    core::instant drain_started;
    core::instant last_busy;
};

bool node::impl::open_listeners()
{
    auto self = shared_from_this();
    socket = peer::datagram_socket::bind(
        io, options.address("peer-address"),
        [this](std::string_view bytes) { on_datagram(bytes); });
    if (!socket)
        return false;
    frame_server = peer::peer_server::listen(
        io, options.address("peer-address"),
        [this](peer::frame_kind kind, const std::string& payload,
               peer::frame_responder respond) {
            on_frame(kind, payload, std::move(respond));
        },
        [this] { metrics.count("dropped_frames", "peer"); });
    http::server_limits limits;
    limits.threads = static_cast<std::size_t>(options.number("caller-threads"));
    limits.max_body_bytes =
        static_cast<std::size_t>(options.number("max-body-bytes"));
    limits.request_timeout = options.duration("request-timeout-ms");
    if (frame_server)
        caller_server = http::server::listen(
            options.address("caller-address"), limits, io,
            [this](http::connection_id, const http::request& message,
                   http::responder respond) {
                caller_gateway.handle(message, std::move(respond));
            });
    limits.threads = 1;
    if (caller_server)
        admin_server = http::server::listen(
            options.address("admin-address"), limits, io,
            [this](http::connection_id, const http::request& message,
                   const http::responder& respond) {
                admin_interface.handle(message, respond);
            });
    return admin_server.has_value();
}

void node::impl::on_datagram(std::string_view bytes)
{
    metrics.count("control_bytes", "membership",
                  bytes.size() + datagram_overhead);
    const auto message = datagram_codec.decode(bytes);
    if (!message)
        return metrics.count("dropped_datagrams", core::last_error().text);
    drive_members(
        [&] { return members.on_message(*message, core::steady::now()); });
}

template <class Event>
void node::impl::drive_members(Event event)
{
    membership::actions actions;
    {
        const std::lock_guard lock(members_mutex);
        actions = event();
    }
    for (auto& action : actions)
        carry_out(action);
}

void node::impl::carry_out(membership::action& action)
{
    if (const auto* send = std::get_if<membership::send_action>(&action))
    {
        const auto bytes = datagram_codec.encode(send->datagram);
        metrics.count("control_bytes", "membership",
                      bytes.size() + datagram_overhead);
        socket->send(send->destination, bytes);
    }
    else if (const auto* fetch = std::get_if<membership::fetch_action>(&action))
        config->fetch_from(fetch->from);
    else if (const auto* change =
                 std::get_if<membership::change_action>(&action))
        on_member_update(change->update);
    else if (const auto* notice =
                 std::get_if<membership::notice_action>(&action))
        on_notice(*notice);
}

void node::impl::on_member_update(const membership::member_update& update)
{
    using membership::member_state;
    using observe::event_kind;
    const auto kind =
        update.state == member_state::alive       ? event_kind::member_joined
        : update.state == member_state::suspected ? event_kind::member_suspected
                                                  : event_kind::member_left;
    make_telemetry().record(
        {kind,
         update.host.name,
         -1,
         {},
         "incarnation " + std::to_string(update.incarnation)});
    if (update.state != member_state::suspected)
        rebuild_routes();
}

void node::impl::on_notice(const membership::notice_action& notice)
{
    const auto opinion = peer::decode_opinion(notice.payload);
    if (!opinion)
        return metrics.count("dropped_datagrams", "malformed opinion");
    if (const auto monitor = services.monitor_of(opinion->service))
        monitor->on_opinion(notice.from, *opinion);
}

void node::impl::broadcast(const std::vector<core::host>& to,
                           const failover::opinion& opinion)
{
    drive_members([&] { return members.notify(to, peer::encode(opinion)); });
}

void node::impl::on_frame(peer::frame_kind kind, const std::string& payload,
                          peer::frame_responder respond)
{
    if (kind == peer::frame_kind::fetch_revision)
        return respond(peer::frame_kind::revision,
                       peer::encode(config->document()));
    auto request = kind == peer::frame_kind::request
                       ? peer::decode_request(payload)
                       : std::nullopt;
    if (!request)
    {
        metrics.count("dropped_frames", "malformed request");
        return respond(peer::frame_kind::refused, {});
    }
    caller_gateway.serve_peer(
        std::move(*request),
        [respond = std::move(respond)](const coordinator::caller_reply& reply) {
            respond(peer::frame_kind::reply, peer::encode(reply));
        });
}

void node::impl::on_revision(const intent::accepted_revision& revision)
{
    {
        const std::lock_guard lock(routes_mutex);
        intent = revision.intent;
    }
    rebuild_routes();
    drive_members([&] { return members.set_revision(revision.revision); });
}

void node::impl::rebuild_routes()
{
    // Routes are built under the lock, so that routes of an older view of the
    // members never replace those of a newer one.
    const std::lock_guard lock(routes_mutex);
    std::vector<core::host> live;
    {
        const std::lock_guard members_lock(members_mutex);
        live = members.live();
    }
    services.set_routes(std::make_shared<const routing_table>(intent, live));
}

void node::impl::read_host_list()
{
    platform.list_hosts(
        [this, self = shared_from_this()](
            const platform::reply<platform::listed_hosts>& reply) {
            if (reply.outcome != platform::platform_outcome::ok)
                return;
            has_host_list = true;
            services.set_leaving({reply.value.leaving_upstreams.begin(),
                                  reply.value.leaving_upstreams.end()});
            const std::lock_guard lock(members_mutex);
            members.set_listed(reply.value.proxies);
        });
}

void node::impl::tick()
{
    const auto now = core::steady::now();
    const auto interval =
        has_host_list ? host_list_interval : first_host_list_interval;
    if (now - last_host_list_read >= interval)
    {
        last_host_list_read = now;
        read_host_list();
    }
    drive_members([&] { return members.on_tick(now); });
    const auto control = gate.control_bytes();
    metrics.count("control_bytes", "databases",
                  control - std::exchange(reported_control_bytes, control));
    config->tick(now, services.routes()->hosts());
    services.tick();
    check_drain();
}

void node::impl::schedule_tick()
{
    timer.expires_after(tick_interval);
    timer.async_wait(
        [self = shared_from_this()](boost::system::error_code error) {
            if (error)
                return;
            self->tick();
            self->schedule_tick();
        });
}

void node::impl::check_drain()
{
    if (!draining)
        return;
    const auto now = core::steady::now();
    const bool is_busy =
        caller_server->pending_requests() > 0 || services.is_busy();
    if (is_busy)
        last_busy = now;
    const auto notice = options.duration("drain-notice-ms");
    const bool is_quiet = now - std::max(last_busy, drain_started) >= notice;
    const bool is_late = now - drain_started >= options.duration("drain-ms");
    if (!is_quiet && !is_late)
        return;
    make_telemetry().record(
        {observe::event_kind::drain_step,
         host,
         -1,
         {},
         is_quiet ? "all requests are finished"
                  : "the time limit of the graceful shutdown has passed; "
                    "unfinished requests are cut off"});
    io.stop();
}

void node::impl::begin_drain()
{
    boost::asio::post(io, [this, self = shared_from_this()] {
        if (draining)
            return;
        drain_started = core::steady::now();
        last_busy = drain_started;
        make_telemetry().record({observe::event_kind::drain_step,
                                 host,
                                 -1,
                                 {},
                                 "a graceful shutdown begins"});
        caller_gateway.start_drain();
        drive_members([&] { return members.leave(); });
        rebuild_routes();
        services.start_drain();
        caller_server->close_after_responses();
        draining = true;
    });
}

std::optional<node> node::start(boost::asio::io_context& io,
                                const settings::settings& options)
{
    auto tokens =
        session::token_codec::create(split_keys(options.text("token-keys")));
    if (!tokens)
        return std::nullopt;
    auto started = std::make_shared<impl>(io, options, std::move(*tokens));
    started->config = std::make_shared<platform_configuration>(
        started->platform, started->platform, started->peers,
        started->make_telemetry(), started->host,
        [raw = started.get()](const intent::accepted_revision& revision) {
            raw->on_revision(revision);
        });
    if (!started->open_listeners())
        return std::nullopt;
    started->schedule_tick();
    return node(std::move(started));
}

void node::drain()
{
    m_impl->begin_drain();
}

node::node(std::shared_ptr<impl> state) : m_impl(std::move(state)) {}
node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;
node::~node() = default;

} // namespace plantainward::daemon
