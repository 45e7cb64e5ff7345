#include <plantainward/settings/settings.hpp>

#include <plantainward/core/address.hpp>
#include <plantainward/core/last_error.hpp>
#include <plantainward/settings/setting.hpp>

#include <charconv>
#include <memory>

#include <tclap/CmdLine.h>

namespace plantainward::settings
{

namespace
{

using value_arg = TCLAP::ValueArg<std::string>;

struct parsed_flags
{
    std::map<std::string, std::string, std::less<>> values;
};

std::optional<parsed_flags> parse(const std::vector<std::string>& flags)
{
    TCLAP::CmdLine line("plantainwardd", ' ', "0.1.0", false);
    line.setExceptionHandling(false);
    std::vector<std::unique_ptr<value_arg>> args;
    for (const auto& setting : daemon_settings())
        args.push_back(std::make_unique<value_arg>(
            "", std::string(setting.name), std::string(setting.meaning), false,
            "", "value", line));
    std::vector<std::string> words{"plantainwardd"};
    words.insert(words.end(), flags.begin(), flags.end());
    try
    {
        line.parse(words);
    }
    catch (const TCLAP::ArgException& error)
    {
        return core::fail(core::error_kind::bad_setting,
                          error.argId() + ": " + error.error());
    }
    parsed_flags result;
    for (const auto& arg : args)
        if (arg->isSet())
            result.values[arg->getName()] = arg->getValue();
    return result;
}

} // namespace

std::optional<settings> settings::create(const std::vector<std::string>& flags,
                                         const environment& variables)
{
    using core::error_kind;
    const auto parsed = parse(flags);
    if (!parsed)
        return std::nullopt;
    settings checked;
    for (const auto& setting : daemon_settings())
    {
        const auto flag = parsed->values.find(setting.name);
        const auto variable = variables(variable_of(setting));
        std::string value(setting.default_value);
        if (flag != parsed->values.end())
            value = flag->second;
        else if (variable)
            value = *variable;
        else if (setting.default_value.empty())
            return core::fail(error_kind::bad_setting,
                              "--" + std::string(setting.name) + " (or " +
                                  variable_of(setting) + ") must be given");
        if (const auto fault = fault_of(setting, value))
            return core::fail(
                error_kind::bad_setting,
                "--" + std::string(setting.name) + ": '" +
                    (setting.type == setting_type::secret ? "***" : value) +
                    "' " + *fault);
        checked.m_values[std::string(setting.name)] = value;
    }
    if (checked.number("default-deadline-ms") >
        checked.number("max-deadline-ms"))
        return core::fail(error_kind::bad_setting,
                          "--default-deadline-ms is above --max-deadline-ms");
    if (checked.number("silence-ms") < 2 * checked.number("probe-interval-ms"))
        return core::fail(
            error_kind::bad_setting,
            "--silence-ms must be at least twice --probe-interval-ms");
    return checked;
}

const std::string& settings::text(std::string_view name) const
{
    return m_values.find(name)->second;
}

std::int64_t settings::number(std::string_view name) const
{
    const auto& value = text(name);
    std::int64_t number = 0;
    std::from_chars(value.data(), value.data() + value.size(), number);
    return number;
}

core::millis settings::duration(std::string_view name) const
{
    return core::millis(number(name));
}

core::address settings::address(std::string_view name) const
{
    return core::parse_address(text(name)).value_or(core::address{});
}

std::string settings::print() const
{
    std::string lines;
    for (const auto& setting : daemon_settings())
    {
        const bool is_secret = setting.type == setting_type::secret;
        lines += std::string(setting.name) + " = " +
                 (is_secret ? "(set)" : text(setting.name)) + "\n";
    }
    return lines;
}

} // namespace plantainward::settings
