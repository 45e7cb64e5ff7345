#include <plantainward/observe/log.hpp>

#include <iostream>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace plantainward::observe
{

namespace
{

namespace logging = boost::log;
using logger = logging::sources::severity_logger_mt<log_level>;

struct log_state
{
    logger sink{log_level::info};
    log_format format{log_format::text};
    log_level min_level{log_level::warning};
    std::string host;
};

log_state& global_state()
{
    static log_state instance;
    return instance;
}

std::string render(log_level level, boost::json::object fields)
{
    const auto& settings = global_state();
    if (settings.format == log_format::json)
    {
        fields["level"] = log_level_names[level];
        fields["host"] = settings.host;
        return boost::json::serialize(fields);
    }
    std::string line =
        std::string(log_level_names[level]) + " " + settings.host;
    for (const auto& [key, value] : fields)
    {
        line += " " + std::string(key) + "=";
        line += value.is_string() ? std::string(value.get_string())
                                  : boost::json::serialize(value);
    }
    return line;
}

void write(log_level level, boost::json::object fields)
{
    if (level < global_state().min_level)
        return;
    const auto line = render(level, std::move(fields));
    BOOST_LOG_SEV(global_state().sink, level) << line;
}

} // namespace

void start_logging(log_level min_level, log_format format, std::string host)
{
    global_state().min_level = min_level;
    global_state().format = format;
    global_state().host = std::move(host);
    logging::add_common_attributes();
    namespace expr = logging::expressions;
    if (format == log_format::json)
    {
        logging::add_console_log(std::cerr,
                                 logging::keywords::format =
                                     (expr::stream << expr::smessage));
        return;
    }
    logging::add_console_log(
        std::cerr,
        logging::keywords::format =
            (expr::stream << expr::format_date_time<boost::posix_time::ptime>(
                                 "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                          << ' ' << expr::smessage));
}

void log(log_level level, std::string_view message)
{
    write(level, {{"message", message}});
}

void log(log_level level, const event& recorded, std::uint64_t number)
{
    boost::json::object fields{{"event", number},
                               {"kind", event_names[recorded.kind]},
                               {"subject", recorded.subject},
                               {"reason", recorded.reason}};
    if (recorded.slot >= 0)
        fields["slot"] = recorded.slot;
    if (!recorded.trace.empty())
        fields["request"] = recorded.trace;
    write(level, std::move(fields));
}

} // namespace plantainward::observe
