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
constexpr core::millis first_host_list_interval{500};
constexpr core::millis platform_timeout{2000};
constexpr std::size_t datagram_overhead = 28;

using platform_configuration =
    configuration<platform::http_platform, platform::http_platform>;

// A later start has a higher incarnation; a clock that was set back is
// corrected by the first refuted rumour.
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
    impl(boost::asio::io_context& context, const settings::settings& chosen,
         session::token_codec tokens)
        : io(context), options(chosen), host(options.text("host-name")),
          incarnation(new_incarnation()),
          instance(host + "." + std::to_string(incarnation)),
          events(static_cast<std::size_t>(options.number("journal-size"))),
          gate(io),
          platform(io, options.address("platform-address"), platform_timeout),
          peers(io), datagrams(options.text("peer-key")),
          members(self_host(), incarnation, membership_timing(),
                  incarnation ^ core::placement_hash(host, {})),
          services(
              gate, {events, numbers}, options, instance, random_secret(),
              [this](const std::vector<core::host>& to,
                     const failover::opinion& what) { broadcast(to, what); }),
          front(services, peers, {events, numbers}, std::move(tokens),
                limits_of(options), instance),
          operators(services, {events, numbers}, sources(), host,
                    options.text("peer-key")),
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

    admin_sources sources()
    {
        return {[this] { return config->document(); },
                [this](const peer::revision_document& one) {
                    return config->offer(one, "an operator");
                },
                [this] {
                    const std::lock_guard lock(members_mutex);
                    return members.live();
                },
                [this] {
                    begin_drain();
                }};
    }

    observers seen() { return {events, numbers}; }

    bool open_listeners();
    void on_datagram(std::string_view bytes);
    void on_frame(peer::frame_kind kind, const std::string& payload,
                  peer::frame_responder respond);
    void on_revision(const intent::accepted_revision& revision);
    void on_change(const membership::member_update& news);
    void on_notice(const membership::notice_action& notice);
    void broadcast(const std::vector<core::host>& to,
                   const failover::opinion& what);
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
    observe::metrics numbers;
    upstream::http_gate gate;
    platform::http_platform platform;
    peer::peer_client peers;
    membership::message_codec datagrams;
    std::mutex members_mutex;
    membership::membership members;
    service_directory services;
    gateway front;
    admin operators;
    std::shared_ptr<platform_configuration> config;
    std::mutex routes_mutex;
    intent::routing_intent intent;
    std::optional<http::server> callers;
    std::optional<http::server> admins;
    std::optional<peer::peer_server> peer_links;
    std::shared_ptr<peer::datagram_socket> socket;
    boost::asio::steady_timer timer;
    core::instant last_host_list;
    std::uint64_t counted_control_bytes{0};
    std::atomic<bool> knows_hosts{false};
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
    peer_links = peer::peer_server::listen(
        io, options.address("peer-address"),
        [this](peer::frame_kind kind, const std::string& payload,
               peer::frame_responder respond) {
            on_frame(kind, payload, std::move(respond));
        },
        [this] { numbers.count("dropped_frames", "peer"); });
    http::server_limits limits;
    limits.threads = static_cast<std::size_t>(options.number("caller-threads"));
    limits.max_body_bytes =
        static_cast<std::size_t>(options.number("max-body-bytes"));
    limits.request_timeout = options.duration("request-timeout-ms");
    if (peer_links)
        callers = http::server::listen(
            options.address("caller-address"), limits, io,
            [this](http::connection_id, const http::request& message,
                   http::responder respond) {
                front.handle(message, std::move(respond));
            });
    limits.threads = 1;
    if (callers)
        admins = http::server::listen(
            options.address("admin-address"), limits, io,
            [this](http::connection_id, const http::request& message,
                   const http::responder& respond) {
                operators.handle(message, respond);
            });
    return admins.has_value();
}

void node::impl::on_datagram(std::string_view bytes)
{
    numbers.count("control_bytes", "membership",
                  bytes.size() + datagram_overhead);
    const auto message = datagrams.decode(bytes);
    if (!message)
        return numbers.count("dropped_datagrams", core::last_error().text);
    drive_members(
        [&] { return members.on_message(*message, core::steady::now()); });
}

template <class Event>
void node::impl::drive_members(Event event)
{
    membership::actions todo;
    {
        const std::lock_guard lock(members_mutex);
        todo = event();
    }
    for (auto& one : todo)
        carry_out(one);
}

void node::impl::carry_out(membership::action& action)
{
    if (const auto* send = std::get_if<membership::send_action>(&action))
    {
        const auto bytes = datagrams.encode(send->datagram);
        numbers.count("control_bytes", "membership",
                      bytes.size() + datagram_overhead);
        socket->send(send->destination, bytes);
    }
    else if (const auto* fetch = std::get_if<membership::fetch_action>(&action))
        config->fetch_from(fetch->from);
    else if (const auto* change =
                 std::get_if<membership::change_action>(&action))
        on_change(change->update);
    else if (const auto* notice =
                 std::get_if<membership::notice_action>(&action))
        on_notice(*notice);
}

void node::impl::on_change(const membership::member_update& news)
{
    using membership::member_state;
    using observe::event_kind;
    const auto kind =
        news.state == member_state::alive       ? event_kind::member_joined
        : news.state == member_state::suspected ? event_kind::member_suspected
                                                : event_kind::member_left;
    seen().record({kind,
                   news.host.name,
                   -1,
                   {},
                   "incarnation " + std::to_string(news.incarnation)});
    if (news.state != member_state::suspected)
        rebuild_routes();
}

void node::impl::on_notice(const membership::notice_action& notice)
{
    const auto opinion = peer::decode_opinion(notice.payload);
    if (!opinion)
        return numbers.count("dropped_datagrams", "malformed opinion");
    if (const auto monitor = services.monitor_of(opinion->service))
        monitor->take_opinion(notice.from, *opinion);
}

void node::impl::broadcast(const std::vector<core::host>& to,
                           const failover::opinion& what)
{
    drive_members([&] { return members.notify(to, peer::encode(what)); });
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
        numbers.count("dropped_frames", "malformed request");
        return respond(peer::frame_kind::refused, {});
    }
    front.serve_peer(
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
    // One at a time, so that an older view never replaces a newer one.
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
            knows_hosts = true;
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
        knows_hosts ? host_list_interval : first_host_list_interval;
    if (now - last_host_list >= interval)
    {
        last_host_list = now;
        read_host_list();
    }
    drive_members([&] { return members.on_tick(now); });
    const auto control = gate.control_bytes();
    numbers.count("control_bytes", "databases",
                  control - std::exchange(counted_control_bytes, control));
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
    const bool is_busy = callers->pending_requests() > 0 || services.is_busy();
    if (is_busy)
        last_busy = now;
    const auto notice = options.duration("drain-notice-ms");
    const bool is_quiet = now - std::max(last_busy, drain_started) >= notice;
    const bool is_late = now - drain_started >= options.duration("drain-ms");
    if (!is_quiet && !is_late)
        return;
    seen().record({observe::event_kind::drain_step,
                   host,
                   -1,
                   {},
                   is_quiet ? "all requests are finished"
                            : "the longest graceful shutdown has passed"});
    io.stop();
}

void node::impl::begin_drain()
{
    boost::asio::post(io, [this, self = shared_from_this()] {
        if (draining)
            return;
        drain_started = core::steady::now();
        last_busy = drain_started;
        seen().record({observe::event_kind::drain_step,
                       host,
                       -1,
                       {},
                       "a graceful shutdown begins"});
        front.start_drain();
        drive_members([&] { return members.leave(); });
        rebuild_routes();
        services.start_drain();
        callers->close_after_responses();
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
    auto made = std::make_shared<impl>(io, options, std::move(*tokens));
    made->config = std::make_shared<platform_configuration>(
        made->platform, made->platform, made->peers, made->seen(), made->host,
        [raw = made.get()](const intent::accepted_revision& revision) {
            raw->on_revision(revision);
        });
    if (!made->open_listeners())
        return std::nullopt;
    made->schedule_tick();
    return node(std::move(made));
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
