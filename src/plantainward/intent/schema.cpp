#include <plantainward/intent/schema.hpp>

#include <plantainward/core/address.hpp>
#include <plantainward/upstream/service_layout.hpp>

#include <algorithm>
#include <array>
#include <numeric>
#include <sstream>

namespace plantainward::intent
{

namespace
{

constexpr std::array<key_rule, 7> rules{{
    {"service.*.slots", value_type::whole_number, 1, 64,
     "groups of the service"},
    {"service.*.acknowledge", value_type::acknowledgement, 0, 0,
     "when a commit is acknowledged"},
    {"service.*.max_age_ms", value_type::whole_number, 0, 3'600'000,
     "greatest age that a read may ask for"},
    {"service.*.database.*.address", value_type::ip_and_port, 0, 0,
     "where the database listens"},
    {"service.*.database.*.failure_domain", value_type::text, 0, 0,
     "failure domain of the database"},
    {"service.*.database.*.connections", value_type::whole_number, 1, 100'000,
     "connection limit of the database"},
    {"service.*.database.*.leaving", value_type::boolean, 0, 0,
     "whether the database is leaving"},
}};

// Largest edit distance at which a known key is suggested.
constexpr std::size_t max_typo_distance = 3;

key_path split(std::string_view pattern)
{
    key_path parts;
    std::istringstream in{std::string(pattern)};
    for (std::string part; std::getline(in, part, '.');)
        parts.push_back(part);
    return parts;
}

bool matches(const key_path& pattern, const key_path& path)
{
    return std::equal(
        pattern.begin(), pattern.end(), path.begin(), path.end(),
        [](const std::string& expected, const std::string& actual) {
            return expected == "*" || expected == actual;
        });
}

std::size_t edit_distance(const std::string& from, const std::string& to)
{
    std::vector<std::size_t> row(to.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < from.size(); ++i)
    {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < to.size(); ++j)
        {
            const auto above = row[j + 1];
            const auto replaced = diagonal + (from[i] == to[j] ? 0 : 1);
            row[j + 1] = std::min({row[j] + 1, above + 1, replaced});
            diagonal = above;
        }
    }
    return row.back();
}

} // namespace

const key_rule* rule_for(const key_path& path)
{
    const auto match =
        std::find_if(rules.begin(), rules.end(), [&](const key_rule& rule) {
            return matches(split(rule.pattern), path);
        });
    return match == rules.end() ? nullptr : &*match;
}

std::optional<std::string> nearest_key(const key_path& path)
{
    std::optional<std::string> best;
    std::size_t min_distance = max_typo_distance + 1;
    for (const auto& rule : rules)
    {
        auto candidate = split(rule.pattern);
        if (candidate.size() != path.size())
            continue;
        std::size_t distance = 0;
        for (std::size_t i = 0; i < path.size(); ++i)
        {
            if (candidate[i] == "*")
                candidate[i] = path[i];
            distance += edit_distance(path[i], candidate[i]);
        }
        if (distance >= min_distance)
            continue;
        min_distance = distance;
        best = to_string(candidate);
    }
    return best;
}

std::optional<std::string> fault_of(const key_rule& rule,
                                    const intent_value& value)
{
    const auto* text = std::get_if<std::string>(&value);
    const auto* number = std::get_if<std::int64_t>(&value);
    switch (rule.type)
    {
    case value_type::whole_number:
        if (number == nullptr || *number < rule.min_value ||
            *number > rule.max_value)
            return "must be a whole number from " +
                   std::to_string(rule.min_value) + " to " +
                   std::to_string(rule.max_value);
        return std::nullopt;
    case value_type::boolean:
        if (!std::holds_alternative<bool>(value))
            return "must be true or false";
        return std::nullopt;
    case value_type::ip_and_port:
        if (text == nullptr || !core::parse_address(*text))
            return "must be \"ip:port\"";
        return std::nullopt;
    case value_type::acknowledgement:
        if (text == nullptr || !upstream::acknowledgement_names.find(*text))
            return "must be \"replica\" or \"primary\"";
        return std::nullopt;
    case value_type::text:
        if (text == nullptr || text->empty())
            return "must be a string that is not empty";
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace plantainward::intent
