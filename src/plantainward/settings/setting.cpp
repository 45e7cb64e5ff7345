#include <plantainward/settings/setting.hpp>

#include <plantainward/core/address.hpp>

#include <array>
#include <cctype>
#include <charconv>
#include <sstream>

namespace plantainward::settings
{

namespace
{

using enum setting_type;

constexpr std::int64_t minute_ms = 60'000;

constexpr std::array<setting, 26> table{{
    {"host-name", text, "", 0, 0, "name of this host, unique in the fleet"},
    {"failure-domain", text, "", 0, 0, "failure domain of this host"},
    {"caller-address", ip_and_port, "", 0, 0, "where callers connect (HTTP)"},
    {"peer-address", ip_and_port, "", 0, 0,
     "where other proxies connect (TCP and UDP)"},
    {"admin-address", ip_and_port, "", 0, 0,
     "where operators connect (HTTP); keep it off the callers' network"},
    {"platform-address", ip_and_port, "", 0, 0,
     "the platform's table service, object store and host list"},
    {"token-keys", secret, "", 0, 0,
     "keys of session tokens, comma-separated, 16 bytes or more each; the "
     "first signs, all verify"},
    {"peer-key", secret, "", 0, 0,
     "key of the datagrams between proxies and of the operators' writes"},
    {"log-level", log_level, "info", 0, 0, "debug, info, warning or error"},
    {"log-format", log_format, "text", 0, 0, "text or json"},
    {"threads", whole_number, "1", 1, 256,
     "threads for peers, upstreams and the platform"},
    {"caller-threads", whole_number, "2", 1, 256,
     "threads that read from callers"},
    {"max-body-bytes", whole_number, "1048576", 1024, 67'108'864,
     "largest body of a caller's request"},
    {"request-timeout-ms", whole_number, "10000", 100, 10 * minute_ms,
     "time for a caller's request to arrive completely"},
    {"default-deadline-ms", whole_number, "5000", 1, 10 * minute_ms,
     "deadline of a request that does not set one"},
    {"max-deadline-ms", whole_number, "30000", 1, 10 * minute_ms,
     "longest deadline; a longer one is lowered to it"},
    {"queue-ms", whole_number, "250", 1, minute_ms,
     "longest wait for a connection while the group can run requests"},
    {"queue-capacity", whole_number, "4096", 1, 1'000'000,
     "requests of one slot that may wait for a connection"},
    {"near-replica-wait-ms", whole_number, "75", 0, minute_ms,
     "longest wait for a replica to catch up before the primary is asked"},
    {"transaction-idle-ms", whole_number, "10000", 100, 60 * minute_ms,
     "time after which a transaction without statements is rolled back"},
    {"drain-ms", whole_number, "30000", 0, 60 * minute_ms,
     "longest time for a graceful shutdown"},
    {"drain-notice-ms", whole_number, "1000", 0, 10 * minute_ms,
     "time for the load balancer to notice that this host is leaving"},
    {"probe-interval-ms", whole_number, "100", 10, 10'000,
     "interval between probes of a watched database"},
    {"silence-ms", whole_number, "400", 50, minute_ms,
     "time without an answer after which a watched database counts as failed"},
    {"membership-period-ms", whole_number, "500", 20, minute_ms,
     "interval between the membership probes of this host"},
    {"journal-size", whole_number, "4096", 16, 1'000'000,
     "number of recent events that are kept for operators"},
}};

std::string_view type_name(setting_type type)
{
    switch (type)
    {
    case text:
        return "text";
    case ip_and_port:
        return "ip:port";
    case whole_number:
        return "whole number";
    case log_level:
        return "level";
    case log_format:
        return "format";
    case secret:
        return "secret";
    }
    return {};
}

std::string range_of(const setting& setting)
{
    if (setting.type != whole_number)
        return {};
    return std::to_string(setting.min_value) + " to " +
           std::to_string(setting.max_value);
}

} // namespace

std::span<const setting> daemon_settings()
{
    return table;
}

std::string variable_of(const setting& setting)
{
    std::string name = "PLANTAINWARD_";
    for (const char c : setting.name)
        name += c == '-' ? '_'
                         : static_cast<char>(
                               std::toupper(static_cast<unsigned char>(c)));
    return name;
}

std::optional<std::string> fault_of(const setting& setting,
                                    const std::string& value)
{
    const auto is_one_of = [&](auto... names) {
        return ((value == names) || ...);
    };
    switch (setting.type)
    {
    case text:
    case secret:
        return value.empty() ? std::optional<std::string>("must not be empty")
                             : std::nullopt;
    case ip_and_port:
        return core::parse_address(value)
                   ? std::nullopt
                   : std::optional<std::string>("must be ip:port");
    case log_level:
        return is_one_of("debug", "info", "warning", "error")
                   ? std::nullopt
                   : std::optional<std::string>(
                         "must be debug, info, warning or error");
    case log_format:
        return is_one_of("text", "json")
                   ? std::nullopt
                   : std::optional<std::string>("must be text or json");
    case whole_number:
        break;
    }
    std::int64_t number = 0;
    const auto* end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, number);
    if (error == std::errc{} && stop == end && number >= setting.min_value &&
        number <= setting.max_value)
        return std::nullopt;
    return "must be a whole number from " + range_of(setting);
}

std::string settings_page()
{
    std::ostringstream page;
    page << "# Settings of plantainwardd\n\n"
            "Each setting is a flag and an environment variable; the flag "
            "takes precedence. This page\nis written by `plantainwardd "
            "--settings-page`.\n\n"
            "| flag | variable | type | default | range | meaning |\n"
            "| --- | --- | --- | --- | --- | --- |\n";
    for (const auto& setting : table)
        page << "| `--" << setting.name << "` | `" << variable_of(setting)
             << "` | " << type_name(setting.type) << " | "
             << (setting.default_value.empty() ? "must be given"
                                               : setting.default_value)
             << " | " << range_of(setting) << " | " << setting.meaning
             << " |\n";
    page << "\nExit codes: 0 after a graceful shutdown, 1 when the proxy could "
            "not start, 2 for a bad setting.\n";
    return page.str();
}

} // namespace plantainward::settings
