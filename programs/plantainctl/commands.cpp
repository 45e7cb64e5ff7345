#include "commands.hpp"

#include <plantainward/core/last_error.hpp>
#include <plantainward/daemon/admin.hpp>
#include <plantainward/intent/applier.hpp>
#include <plantainward/intent/routing_intent.hpp>
#include <plantainward/platform/http_platform.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <iostream>
#include <random>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace plantainctl
{

namespace json = boost::json;
namespace platform = plantainward::platform;

namespace
{

int fail_with_reason()
{
    std::cerr << "plantainctl: " << core::last_error().text << '\n';
    return exit_failed;
}

int fail_usage(const char* text)
{
    std::cerr << "plantainctl: " << text << '\n';
    return exit_usage;
}

void report(const context& where, const std::vector<intent::issue>& issues)
{
    if (!where.json)
    {
        for (const auto& one : issues)
            std::cerr << intent::to_string(one) << '\n';
        return;
    }
    json::array all;
    for (const auto& one : issues)
        all.push_back(json::object{{"file", one.file},
                                   {"line", one.line},
                                   {"key", one.key},
                                   {"text", one.text}});
    print(json::object{{"issues", std::move(all)}});
}

/// The files of a folder when they pass the check; reports the issues.
std::optional<intent::bundle> checked_folder(const context& where,
                                             const std::string& folder)
{
    auto files = intent::read_folder(folder);
    if (!files)
        return std::nullopt;
    std::vector<intent::issue> issues;
    if (intent::check(*files, issues))
        return files;
    report(where, issues);
    return core::fail(core::error_kind::bad_intent,
                      "folder " + folder + " has " +
                          std::to_string(issues.size()) + " faults");
}

void print_differences(const context& where, const intent::bundle& before,
                       const intent::bundle& after)
{
    json::array all;
    for (const auto& one :
         intent::diff(intent::merge(before), intent::merge(after)))
    {
        const auto key = intent::to_string(one.key);
        if (where.json)
            all.push_back(json::object{
                {"key", key}, {"before", one.before}, {"after", one.after}});
        else if (one.before.empty())
            std::cout << "+ " << key << " = " << one.after << '\n';
        else if (one.after.empty())
            std::cout << "- " << key << " = " << one.before << '\n';
        else
            std::cout << "~ " << key << " = " << one.before << " -> "
                      << one.after << '\n';
    }
    if (where.json)
        print(json::object{{"differences", std::move(all)}});
}

std::string random_writer()
{
    std::random_device source;
    return std::to_string(source()) + std::to_string(source());
}

std::size_t push_to_proxies(const context& where, const intent::head& head,
                            const std::string& body)
{
    const auto text = json::serialize(json::object{{"revision", head.revision},
                                                   {"digest", head.digest},
                                                   {"body", body},
                                                   {"author", head.author}});
    std::size_t told = 0;
    for (const auto& proxy : where.proxies)
    {
        const http::request message{
            "POST",
            "/admin/revision",
            {{std::string(plantainward::daemon::admin_key_header), where.key}},
            text};
        if (ask_proxy(proxy, message))
            ++told;
        else
            std::cerr << "plantainctl: " << core::last_error().text << '\n';
    }
    return told;
}

intent::apply_result apply_body(const core::address& where, std::string body,
                                std::uint64_t seen, const std::string& author)
{
    constexpr core::millis timeout{1000};
    boost::asio::io_context io;
    platform::http_platform services(io, where, timeout);
    using applier =
        intent::applier<platform::http_platform, platform::http_platform>;
    intent::apply_result result;
    std::make_shared<applier>(services, services)
        ->apply(std::move(body), seen, random_writer(), author,
                [&](intent::apply_result end) { result = std::move(end); });
    io.run();
    return result;
}

std::string clock_text(std::int64_t microseconds)
{
    const std::time_t seconds = microseconds / 1'000'000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 16> text{};
    std::strftime(text.data(), text.size(), "%H:%M:%S", &parts);
    auto fraction = std::to_string(microseconds % 1'000'000 / 1000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::string(text.data()) + "." + fraction;
}

std::string text_of(const json::value& from, const char* key)
{
    const auto& value = from.at(key);
    return value.is_string() ? std::string(value.get_string())
                             : json::serialize(value);
}

void print_status(const json::value& one)
{
    std::cout << text_of(one, "host") << ": revision "
              << text_of(one, "revision") << " by " << text_of(one, "author")
              << ", " << one.at("live").as_array().size() << " live hosts\n";
    for (const auto& item : one.at("services").as_object())
    {
        const auto& service = item.value();
        std::cout << "  " << item.key() << ": coordinator "
                  << text_of(service, "coordinator") << ", watchers "
                  << text_of(service, "watchers") << '\n';
        const auto* here = service.as_object().if_contains("here");
        if (here == nullptr)
            continue;
        for (const auto& slot : here->at("slots").as_array())
            std::cout << "    slot " << text_of(slot, "slot") << ": term "
                      << text_of(slot, "term") << ", primary "
                      << text_of(slot, "primary") << ", logs "
                      << text_of(slot, "logs") << '\n';
    }
}

} // namespace

int run_check(const context& where, const std::string& folder)
{
    if (!checked_folder(where, folder))
        return fail_with_reason();
    if (where.json)
        print(json::object{{"issues", json::array{}}});
    else
        std::cout << folder << " is sound\n";
    return exit_ok;
}

int run_diff(const context& where, const std::string& folder)
{
    const auto files = checked_folder(where, folder);
    const auto now = files ? read_in_force(where) : std::nullopt;
    if (!now)
        return fail_with_reason();
    print_differences(where, now->files, *files);
    return exit_ok;
}

int run_apply(const context& where, const std::string& folder,
              std::optional<std::uint64_t> on_revision)
{
    if (!where.platform)
        return fail_usage("apply needs --platform");
    const auto files = checked_folder(where, folder);
    const auto now = files ? read_in_force(where) : std::nullopt;
    if (!now)
        return fail_with_reason();
    const auto body = intent::encode(*files);
    const auto result =
        apply_body(*where.platform, body,
                   on_revision.value_or(now->head.revision), where.author);
    if (result.error == core::error_kind::revision_conflict)
    {
        std::cerr << "plantainctl: " << result.reason
                  << "; what differs from it:\n";
        if (const auto winner = read_in_force(where))
            print_differences(where, winner->files, *files);
        return exit_conflict;
    }
    if (result.error)
    {
        std::cerr << "plantainctl: " << result.reason << '\n';
        return exit_failed;
    }
    const auto told = push_to_proxies(where, result.current_head, body);
    if (where.json)
        print(json::object{{"revision", result.current_head.revision},
                           {"proxies_told", told}});
    else
        std::cout << "revision " << result.current_head.revision
                  << " is accepted; " << told << " proxies were told\n";
    return exit_ok;
}

int run_show(const context& where)
{
    const auto now = read_in_force(where);
    if (!now)
        return fail_with_reason();
    const auto merged = intent::merge(now->files);
    json::array all;
    if (!where.json)
        std::cout << "revision " << now->head.revision << " by "
                  << now->head.author << '\n';
    for (const auto& [key, set] : merged.values)
    {
        if (where.json)
            all.push_back(json::object{{"key", intent::to_string(key)},
                                       {"value", intent::to_string(set.value)},
                                       {"file", set.file},
                                       {"line", set.line}});
        else
            std::cout << intent::to_string(key) << " = "
                      << intent::to_string(set.value) << "  (" << set.file
                      << ':' << set.line << ")\n";
    }
    if (where.json)
        print(json::object{{"revision", now->head.revision},
                           {"author", now->head.author},
                           {"values", std::move(all)}});
    return exit_ok;
}

int run_status(const context& where)
{
    if (where.proxies.empty())
        return fail_usage("status needs --proxy");
    json::array all;
    int code = exit_ok;
    for (const auto& proxy : where.proxies)
    {
        const auto answer = ask_proxy(proxy, {"GET", "/admin/status", {}, {}});
        if (!answer)
            code = fail_with_reason();
        else if (where.json)
            all.push_back(*answer);
        else
            print_status(*answer);
    }
    if (where.json)
        print(all);
    return code;
}

int run_explain(const context& where, const std::string& about)
{
    if (where.proxies.empty())
        return fail_usage("explain needs --proxy");
    std::vector<json::value> events;
    for (const auto& proxy : where.proxies)
    {
        const auto answer =
            ask_proxy(proxy, {"GET", "/admin/events?about=" + about, {}, {}});
        if (!answer)
        {
            fail_with_reason();
            continue;
        }
        for (const auto& one : answer->as_array())
            events.push_back(one);
    }
    std::sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
        return a.at("time_us").as_int64() < b.at("time_us").as_int64();
    });
    if (where.json)
    {
        print(json::array(events.begin(), events.end()));
        return exit_ok;
    }
    for (const auto& one : events)
        std::cout << clock_text(one.at("time_us").as_int64()) << ' '
                  << text_of(one, "host") << ' ' << text_of(one, "kind") << ' '
                  << text_of(one, "subject") << " slot " << text_of(one, "slot")
                  << ": " << text_of(one, "reason") << '\n';
    return exit_ok;
}

int run_drain(const context& where)
{
    if (where.proxies.empty())
        return fail_usage("drain needs --proxy");
    for (const auto& proxy : where.proxies)
    {
        const http::request message{
            "POST",
            "/admin/drain",
            {{std::string(plantainward::daemon::admin_key_header), where.key}},
            "{}"};
        if (!ask_proxy(proxy, message))
            return fail_with_reason();
        if (where.json)
            print(json::object{{"draining", core::to_string(proxy)}});
        else
            std::cout << core::to_string(proxy) << " is shutting down\n";
    }
    return exit_ok;
}

} // namespace plantainctl
