#pragma once

#include <plantainward/core/enum_names.hpp>
#include <plantainward/observe/event.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace plantainward::observe
{

/// Severity of a log line.
enum class log_level : std::uint8_t
{
    debug,
    info,
    warning,
    error
};

/// Names of the levels in settings and log lines.
inline constexpr core::enum_names<log_level, 4> log_level_names{
    {"debug", "info", "warning", "error"}};

/// Form of a log line.
enum class log_format : std::uint8_t
{
    text,
    json
};

/// Names of the formats in settings.
inline constexpr core::enum_names<log_format, 2> log_format_names{
    {"text", "json"}};

/// Starts to write log lines of at least this level to standard error in this
/// format.
void start_logging(log_level min_level, log_format format, std::string host);

/// Writes one line with a message.
void log(log_level level, std::string_view message);

/// Writes one line with an event and its number in the journal.
void log(log_level level, const event& recorded, std::uint64_t number);

} // namespace plantainward::observe
