#include <plantainward/observe/metrics.hpp>

#include <plantainward/core/digest.hpp>
#include <plantainward/core/enum_names.hpp>

#include <array>
#include <sstream>
#include <tuple>

#include <boost/histogram.hpp>

namespace plantainward::observe
{

namespace
{

namespace histogram = boost::histogram;

constexpr std::size_t max_labels = 256;
constexpr std::size_t shard_count = 16;
constexpr double smallest_ms = 0.1;
constexpr double largest_ms = 20'000;
constexpr unsigned bins = 48;

constexpr core::enum_names<measure, 6> measure_names{
    {"latency_ms", "queue_time_ms", "read_age_ms", "confirmation_wait_ms",
     "promotion_call_ms", "claim_ms"}};

auto make_histogram()
{
    return histogram::make_histogram(
        histogram::axis::regular<double, histogram::axis::transform::log>(
            bins, smallest_ms, largest_ms));
}

using histogram_type = decltype(make_histogram());
using histogram_key = std::tuple<measure, std::string, std::string>;

struct distribution
{
    histogram_type bins{make_histogram()};
    double sum{0};
    std::uint64_t count{0};
};

struct shard
{
    mutable std::mutex mutex;
    std::map<histogram_key, distribution> distributions;
    std::map<std::pair<std::string, std::string>, std::uint64_t> counters;
};

// Label values come from callers and end up inside quotes.
std::string clean(std::string_view label)
{
    std::string made;
    for (const char c : label.substr(0, 64))
        made += (c == '"' || c == '\\' || c < ' ') ? '_' : c;
    return made;
}

void print(std::ostream& out, const histogram_key& key, const distribution& one)
{
    const auto& [what, tenant, klass] = key;
    const auto name = "plantainward_" + std::string(measure_names[what]);
    const auto labels = "tenant=\"" + tenant + "\",class=\"" + klass + "\"";
    double below = one.bins.at(-1);
    for (int i = 0; i < static_cast<int>(bins); ++i)
    {
        below += one.bins.at(i);
        out << name << "_bucket{" << labels << ",le=\""
            << one.bins.axis().bin(i).upper() << "\"} " << below << '\n';
    }
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << one.count
        << '\n';
    out << name << "_sum{" << labels << "} " << one.sum << '\n';
    out << name << "_count{" << labels << "} " << one.count << '\n';
}

} // namespace

struct metrics::impl
{
    shard& shard_of(std::string_view label)
    {
        return shards[core::placement_hash(label, {}) % shard_count];
    }

    std::array<shard, shard_count> shards;
};

metrics::metrics() : m_impl(std::make_unique<impl>()) {}
metrics::~metrics() = default;

void metrics::observe(measure what, std::string_view tenant,
                      std::string_view klass, double milliseconds)
{
    auto& home = m_impl->shard_of(tenant);
    const std::lock_guard lock(home.mutex);
    histogram_key key{what, clean(tenant), std::string(klass)};
    if (home.distributions.size() >= max_labels &&
        !home.distributions.contains(key))
        std::get<1>(key) = "other";
    auto& one = home.distributions[key];
    one.bins(milliseconds);
    one.sum += milliseconds;
    ++one.count;
}

void metrics::count(std::string_view counter, std::string_view label,
                    std::uint64_t amount)
{
    auto& home = m_impl->shard_of(label);
    const std::lock_guard lock(home.mutex);
    std::pair key{std::string(counter), clean(label)};
    if (home.counters.size() >= max_labels && !home.counters.contains(key))
        key.second = "other";
    home.counters[key] += amount;
}

std::uint64_t metrics::total(std::string_view counter) const
{
    std::uint64_t sum = 0;
    for (const auto& home : m_impl->shards)
    {
        const std::lock_guard lock(home.mutex);
        for (const auto& [key, value] : home.counters)
            sum += key.first == counter ? value : 0;
    }
    return sum;
}

std::string metrics::page() const
{
    std::ostringstream out;
    for (const auto& home : m_impl->shards)
    {
        const std::lock_guard lock(home.mutex);
        for (const auto& [key, value] : home.counters)
            out << "plantainward_" << key.first << "_total{label=\""
                << key.second << "\"} " << value << '\n';
        for (const auto& [key, one] : home.distributions)
            print(out, key, one);
    }
    return out.str();
}

} // namespace plantainward::observe
