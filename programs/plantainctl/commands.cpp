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

int print_last_error()
{
    std::cerr << "plantainctl: " << core::last_error().text << '\n';
    return exit_failed;
}

int print_usage_error(const char* text)
{
    std::cerr << "plantainctl: " << text << '\n';
    return exit_usage;
}

void report(const context& target, const std::vector<intent::issue>& issues)
{
    if (!target.json)
    {
        for (const auto& issue : issues)
            std::cerr << intent::to_string(issue) << '\n';
        return;
    }
    json::array entries;
    for (const auto& issue : issues)
        entries.push_back(json::object{{"file", issue.file},
                                       {"line", issue.line},
                                       {"key", issue.key},
                                       {"text", issue.text}});
    print(json::object{{"issues", std::move(entries)}});
}

/// Reads and checks a folder. Prints the issues; empty when there are any.
std::optional<intent::bundle> checked_folder(const context& target,
                                             const std::string& folder)
{
    auto files = intent::read_folder(folder);
    if (!files)
        return std::nullopt;
    std::vector<intent::issue> issues;
    if (intent::check(*files, issues))
        return files;
    report(target, issues);
    return core::fail(core::error_kind::bad_intent,
                      "folder " + folder + " has " +
                          std::to_string(issues.size()) + " issues");
}

void print_differences(const context& target, const intent::bundle& before,
                       const intent::bundle& after)
{
    json::array entries;
    for (const auto& difference :
         intent::diff(intent::merge(before), intent::merge(after)))
    {
        const auto key = intent::to_string(difference.key);
        if (target.json)
            entries.push_back(json::object{{"key", key},
                                           {"before", difference.before},
                                           {"after", difference.after}});
        else if (difference.before.empty())
            std::cout << "+ " << key << " = " << difference.after << '\n';
        else if (difference.after.empty())
            std::cout << "- " << key << " = " << difference.before << '\n';
        else
            std::cout << "~ " << key << " = " << difference.before << " -> "
                      << difference.after << '\n';
    }
    if (target.json)
        print(json::object{{"differences", std::move(entries)}});
}

std::string random_writer()
{
    std::random_device source;
    return std::to_string(source()) + std::to_string(source());
}

std::size_t push_to_proxies(const context& target, const intent::head& head,
                            const std::string& body)
{
    const auto text = json::serialize(json::object{{"revision", head.revision},
                                                   {"digest", head.digest},
                                                   {"body", body},
                                                   {"author", head.author}});
    std::size_t accepted = 0;
    for (const auto& proxy : target.proxies)
    {
        const http::request message{
            "POST",
            "/admin/revision",
            {{std::string(plantainward::daemon::admin_key_header), target.key}},
            text};
        if (send_to_proxy(proxy, message))
            ++accepted;
        else
            std::cerr << "plantainctl: " << core::last_error().text << '\n';
    }
    return accepted;
}

intent::apply_result apply_body(const core::address& platform_address,
                                std::string body,
                                std::uint64_t expected_version,
                                const std::string& author)
{
    constexpr core::millis timeout{1000};
    boost::asio::io_context io;
    platform::http_platform services(io, platform_address, timeout);
    using applier =
        intent::applier<platform::http_platform, platform::http_platform>;
    intent::apply_result result;
    std::make_shared<applier>(services, services)
        ->apply(
            std::move(body), expected_version, random_writer(), author,
            [&](intent::apply_result outcome) { result = std::move(outcome); });
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

std::string text_of(const json::value& object, const char* key)
{
    const auto& value = object.at(key);
    return value.is_string() ? std::string(value.get_string())
                             : json::serialize(value);
}

void print_status(const json::value& status)
{
    std::cout << text_of(status, "host") << ": revision "
              << text_of(status, "revision") << " by "
              << text_of(status, "author") << ", "
              << status.at("live").as_array().size() << " live hosts\n";
    for (const auto& item : status.at("services").as_object())
    {
        const auto& service = item.value();
        std::cout << "  " << item.key() << ": coordinator "
                  << text_of(service, "coordinator") << ", watchers "
                  << text_of(service, "watchers") << '\n';
        const auto* local_state = service.as_object().if_contains("here");
        if (local_state == nullptr)
            continue;
        for (const auto& slot : local_state->at("slots").as_array())
            std::cout << "    slot " << text_of(slot, "slot") << ": term "
                      << text_of(slot, "term") << ", primary "
                      << text_of(slot, "primary") << ", logs "
                      << text_of(slot, "logs") << '\n';
    }
}

} // namespace

int run_check(const context& target, const std::string& folder)
{
    if (!checked_folder(target, folder))
        return print_last_error();
    if (target.json)
        print(json::object{{"issues", json::array{}}});
    else
        std::cout << folder << " has no issues\n";
    return exit_ok;
}

int run_diff(const context& target, const std::string& folder)
{
    const auto files = checked_folder(target, folder);
    const auto current = files ? read_in_force(target) : std::nullopt;
    if (!current)
        return print_last_error();
    print_differences(target, current->files, *files);
    return exit_ok;
}

int run_apply(const context& target, const std::string& folder,
              std::optional<std::uint64_t> on_revision)
{
    if (!target.platform)
        return print_usage_error("apply needs --platform");
    const auto files = checked_folder(target, folder);
    const auto current = files ? read_in_force(target) : std::nullopt;
    if (!current)
        return print_last_error();
    const auto body = intent::encode(*files);
    const auto result =
        apply_body(*target.platform, body,
                   on_revision.value_or(current->head.revision), target.author);
    if (result.error == core::error_kind::revision_conflict)
    {
        std::cerr << "plantainctl: " << result.reason
                  << "; differences from the current revision:\n";
        if (const auto winner = read_in_force(target))
            print_differences(target, winner->files, *files);
        return exit_conflict;
    }
    if (result.error)
    {
        std::cerr << "plantainctl: " << result.reason << '\n';
        return exit_failed;
    }
    const auto proxies_reached =
        push_to_proxies(target, result.current_head, body);
    if (target.json)
        print(json::object{{"revision", result.current_head.revision},
                           {"proxies_told", proxies_reached}});
    else
        std::cout << "revision " << result.current_head.revision
                  << " is accepted; " << proxies_reached
                  << " proxies have received it\n";
    return exit_ok;
}

int run_show(const context& target)
{
    const auto current = read_in_force(target);
    if (!current)
        return print_last_error();
    const auto merged = intent::merge(current->files);
    json::array entries;
    if (!target.json)
        std::cout << "revision " << current->head.revision << " by "
                  << current->head.author << '\n';
    for (const auto& [key, assigned] : merged.values)
    {
        if (target.json)
            entries.push_back(
                json::object{{"key", intent::to_string(key)},
                             {"value", intent::to_string(assigned.value)},
                             {"file", assigned.file},
                             {"line", assigned.line}});
        else
            std::cout << intent::to_string(key) << " = "
                      << intent::to_string(assigned.value) << "  ("
                      << assigned.file << ':' << assigned.line << ")\n";
    }
    if (target.json)
        print(json::object{{"revision", current->head.revision},
                           {"author", current->head.author},
                           {"values", std::move(entries)}});
    return exit_ok;
}

int run_status(const context& target)
{
    if (target.proxies.empty())
        return print_usage_error("status needs --proxy");
    json::array statuses;
    int code = exit_ok;
    for (const auto& proxy : target.proxies)
    {
        const auto answer =
            send_to_proxy(proxy, {"GET", "/admin/status", {}, {}});
        if (!answer)
            code = print_last_error();
        else if (target.json)
            statuses.push_back(*answer);
        else
            print_status(*answer);
    }
    if (target.json)
        print(statuses);
    return code;
}

int run_explain(const context& target, const std::string& about)
{
    if (target.proxies.empty())
        return print_usage_error("explain needs --proxy");
    std::vector<json::value> events;
    for (const auto& proxy : target.proxies)
    {
        const auto answer = send_to_proxy(
            proxy, {"GET", "/admin/events?about=" + about, {}, {}});
        if (!answer)
        {
            print_last_error();
            continue;
        }
        for (const auto& event : answer->as_array())
            events.push_back(event);
    }
    std::sort(events.begin(), events.end(), [](const auto& a, const auto& b) {
        return a.at("time_us").as_int64() < b.at("time_us").as_int64();
    });
    if (target.json)
    {
        print(json::array(events.begin(), events.end()));
        return exit_ok;
    }
    for (const auto& event : events)
        std::cout << clock_text(event.at("time_us").as_int64()) << ' '
                  << text_of(event, "host") << ' ' << text_of(event, "kind")
                  << ' ' << text_of(event, "subject") << " slot "
                  << text_of(event, "slot") << ": " << text_of(event, "reason")
                  << '\n';
    return exit_ok;
}

int run_drain(const context& target)
{
    if (target.proxies.empty())
        return print_usage_error("drain needs --proxy");
    for (const auto& proxy : target.proxies)
    {
        const http::request message{
            "POST",
            "/admin/drain",
            {{std::string(plantainward::daemon::admin_key_header), target.key}},
            "{}"};
        if (!send_to_proxy(proxy, message))
            return print_last_error();
        if (target.json)
            print(json::object{{"draining", core::to_string(proxy)}});
        else
            std::cout << core::to_string(proxy) << " is shutting down\n";
    }
    return exit_ok;
}

} // namespace plantainctl
