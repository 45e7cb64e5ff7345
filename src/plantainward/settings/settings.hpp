#pragma once

#include <plantainward/core/host.hpp>
#include <plantainward/core/time.hpp>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace plantainward::settings
{

/// Looks up an environment variable; empty optional when it is not set.
using environment =
    std::function<std::optional<std::string>(const std::string&)>;

/// The checked settings of a process.
class settings
{
public:
    /// Takes each setting from its flag, else its variable, else its default;
    /// empty optional with an error that names the first invalid setting.
    static std::optional<settings> create(const std::vector<std::string>& flags,
                                          const environment& variables);

    /// The value of a setting. `name` must be one of `daemon_settings`, and the
    /// type of that setting must fit the function.
    const std::string& text(std::string_view name) const;
    std::int64_t number(std::string_view name) const;
    /// The value of a setting that counts milliseconds.
    core::millis duration(std::string_view name) const;
    core::address address(std::string_view name) const;

    /// One line "name = value" for each setting; "(set)" replaces a secret.
    std::string print() const;

private:
    std::map<std::string, std::string, std::less<>> m_values;
};

} // namespace plantainward::settings
