#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace plantainward::settings
{

/// Type of a setting's value.
enum class setting_type : std::uint8_t
{
    text,
    ip_and_port,
    whole_number,
    log_level,
    log_format,
    /// Text that is never printed.
    secret
};

/// One setting: the flag `--name` and the variable `PLANTAINWARD_NAME`.
struct setting
{
    std::string_view name;
    setting_type type;
    /// Empty when the setting must be given.
    std::string_view default_value;
    /// Bounds of a whole number, both included.
    std::int64_t min_value;
    std::int64_t max_value;
    std::string_view meaning;
};

/// The settings of `plantainwardd`, for parsing, help and documentation.
std::span<const setting> daemon_settings();

/// The name of the environment variable of a setting.
std::string variable_of(const setting& setting);

/// The requirement of a setting that a value violates; empty when it is valid.
std::optional<std::string> fault_of(const setting& setting,
                                    const std::string& value);

/// The text of `docs/SETTINGS.md`.
std::string settings_page();

} // namespace plantainward::settings
