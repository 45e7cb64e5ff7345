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
    std::int64_t least;
    std::int64_t most;
    std::string_view meaning;
};

/// The settings of `plantainwardd`; help, checks and pages come from here.
std::span<const setting> daemon_settings();

/// The environment variable of a setting.
std::string variable_of(const setting& one);

/// What is wrong with a value, if anything is.
std::optional<std::string> fault_of(const setting& one,
                                    const std::string& value);

/// The page `docs/SETTINGS.md`.
std::string settings_page();

} // namespace plantainward::settings
