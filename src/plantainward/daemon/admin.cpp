#include <plantainward/daemon/admin.hpp>

#include <plantainward/core/digest.hpp>

#include <exception>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace plantainward::daemon
{

namespace json = boost::json;

namespace
{

constexpr std::string_view events_target = "/admin/events";

http::response json_response(const json::value& body)
{
    http::response response;
    response.body = json::serialize(body);
    return response;
}

http::response wrong_key()
{
    return encode_error(core::error_kind::bad_request,
                        "the Admin-Key header is missing or wrong", {});
}

json::object describe(const coordinator::service_coordinator& coordinator)
{
    const auto& layout = coordinator.layout();
    json::array slots;
    for (int slot = 0; slot < layout.slots; ++slot)
    {
        const auto& view = coordinator.view(slot);
        json::object slot_object{{"slot", slot}, {"term", view.term()}};
        const auto primary = view.primary();
        slot_object["primary"] =
            primary ? json::value(layout.databases[*primary].name) : nullptr;
        json::array logs;
        for (std::size_t i = 0; i < layout.databases.size(); ++i)
            logs.push_back(json::object{
                {"database", layout.databases[i].name},
                {"log", upstream::to_string(view.status(i).last)}});
        slot_object["logs"] = std::move(logs);
        slots.push_back(std::move(slot_object));
    }
    json::array databases;
    for (std::size_t i = 0; i < layout.databases.size(); ++i)
        databases.push_back(
            json::object{{"name", layout.databases[i].name},
                         {"leaving", layout.databases[i].leaving},
                         {"connections", coordinator.connections(i)}});
    return {{"slots", std::move(slots)},
            {"databases", std::move(databases)},
            {"unfinished_requests", coordinator.unfinished_requests()}};
}

} // namespace

admin::admin(service_directory& services, telemetry outputs,
             admin_callbacks callbacks, std::string host, std::string key)
    : m_services(services), m_telemetry(outputs),
      m_callbacks(std::move(callbacks)), m_host(std::move(host)),
      m_key(std::move(key))
{
}

void admin::handle(const http::request& message,
                   const http::responder& respond) const
{
    if (message.target == "/metrics")
    {
        http::response page;
        page.content_type = "text/plain; version=0.0.4";
        page.body = m_telemetry.metrics.page();
        return respond(std::move(page));
    }
    if (message.target == "/admin/status")
        return respond(status());
    if (message.target.starts_with(events_target))
        return respond(events(message.target));
    if (message.target == "/admin/revision")
        return respond(revision(message));
    if (message.target == "/admin/drain" && message.method == "POST")
        return respond(is_operator(message) ? drain() : wrong_key());
    respond(encode_error(core::error_kind::not_found, "no such resource", {}));
}

http::response admin::status() const
{
    const auto document = m_callbacks.revision();
    json::object body{{"host", m_host},
                      {"revision", document.revision},
                      {"digest", document.digest},
                      {"author", document.writer}};
    json::array live;
    for (const auto& host : m_callbacks.live_hosts())
        live.push_back(json::object{{"host", host.name},
                                    {"failure_domain", host.failure_domain}});
    body["live"] = std::move(live);
    json::object services;
    const auto routes = m_services.routes();
    for (const auto& [name, route] : routes->routes())
    {
        json::array watchers;
        for (const auto& watcher : route.watchers())
            watchers.push_back(json::string(watcher.name));
        services[name] = json::object{
            {"coordinator", route.ranked.empty()
                                ? json::value(nullptr)
                                : json::value(route.ranked.front().name)},
            {"watchers", std::move(watchers)}};
    }
    for (const auto& [name, shell] : m_services.coordinators())
        if (auto* service = services.if_contains(name))
            service->as_object()["here"] = shell->read(
                [](const auto& coordinator) { return describe(coordinator); });
    body["services"] = std::move(services);
    return json_response(body);
}

http::response admin::events(const std::string& query) const
{
    const auto query_start = query.find("?about=");
    const auto about = query_start == std::string::npos
                           ? std::string{}
                           : query.substr(query_start + 7);
    json::array matches;
    for (const auto& entry : m_telemetry.events.find(about))
    {
        const auto since_epoch = entry.recorded_at.time_since_epoch();
        matches.push_back(json::object{
            {"host", m_host},
            {"number", entry.number},
            {"time_us",
             std::chrono::duration_cast<std::chrono::microseconds>(since_epoch)
                 .count()},
            {"kind", observe::event_names[entry.details.kind]},
            {"subject", entry.details.subject},
            {"slot", entry.details.slot},
            {"request", entry.details.trace},
            {"reason", entry.details.reason}});
    }
    return json_response(matches);
}

bool admin::is_operator(const http::request& message) const
{
    return core::equal_in_constant_time(message.header(admin_key_header),
                                        m_key);
}

http::response admin::drain() const
{
    m_callbacks.start_drain();
    return json_response(json::object{{"draining", true}});
}

http::response admin::revision(const http::request& message) const
{
    if (message.method == "POST")
        return is_operator(message) ? post_revision(message) : wrong_key();
    const auto document = m_callbacks.revision();
    return json_response(json::object{{"revision", document.revision},
                                      {"digest", document.digest},
                                      {"body", document.body},
                                      {"author", document.writer}});
}

http::response admin::post_revision(const http::request& message) const
{
    using core::error_kind;
    try
    {
        const auto body = json::parse(message.body);
        const peer::revision_document document{
            body.at("revision").to_number<std::uint64_t>(),
            std::string(body.at("digest").as_string()),
            std::string(body.at("body").as_string()),
            std::string(body.at("author").as_string())};
        if (m_callbacks.accept_revision(document))
            return json_response(json::object{{"in_force", true}});
        return encode_error(error_kind::revision_conflict,
                            "a newer revision is in force", {});
    }
    catch (const std::exception&)
    {
        return encode_error(error_kind::bad_request, "malformed revision", {});
    }
}

} // namespace plantainward::daemon
