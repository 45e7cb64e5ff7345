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

// Most histograms, and most counters, in a shard; further labels are counted
// under "other".
constexpr std::size_t max_labels = 256;
constexpr std::size_t shard_count = 16;
constexpr double min_ms = 0.1;
constexpr double max_ms = 20'000;
constexpr unsigned bin_count = 48;

constexpr core::enum_names<measure, 6> measure_names{
    {"latency_ms", "queue_time_ms", "read_age_ms", "confirmation_wait_ms",
     "promotion_call_ms", "claim_ms"}};

auto make_histogram()
{
    return histogram::make_histogram(
        histogram::axis::regular<double, histogram::axis::transform::log>(
            bin_count, min_ms, max_ms));
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

// Makes a label of a caller safe to print between quotes and limits its length.
std::string sanitize(std::string_view label)
{
    std::string sanitized;
    for (const char c : label.substr(0, 64))
        sanitized += (c == '"' || c == '\\' || c < ' ') ? '_' : c;
    return sanitized;
}

void print(std::ostream& out, const histogram_key& key,
           const distribution& series)
{
    const auto& [quantity, tenant, request_class] = key;
    const auto name = "plantainward_" + std::string(measure_names[quantity]);
    const auto labels =
        "tenant=\"" + tenant + "\",class=\"" + request_class + "\"";
    double cumulative_count = series.bins.at(-1);
    for (int i = 0; i < static_cast<int>(bin_count); ++i)
    {
        cumulative_count += series.bins.at(i);
        out << name << "_bucket{" << labels << ",le=\""
            << series.bins.axis().bin(i).upper() << "\"} " << cumulative_count
            << '\n';
    }
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << series.count
        << '\n';
    out << name << "_sum{" << labels << "} " << series.sum << '\n';
    out << name << "_count{" << labels << "} " << series.count << '\n';
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

void metrics::observe(measure quantity, std::string_view tenant,
                      std::string_view request_class, double milliseconds)
{
    auto& label_shard = m_impl->shard_of(tenant);
    const std::lock_guard lock(label_shard.mutex);
    histogram_key key{quantity, sanitize(tenant), std::string(request_class)};
    if (label_shard.distributions.size() >= max_labels &&
        !label_shard.distributions.contains(key))
        std::get<1>(key) = "other";
    auto& series = label_shard.distributions[key];
    series.bins(milliseconds);
    series.sum += milliseconds;
    ++series.count;
}

void metrics::count(std::string_view counter, std::string_view label,
                    std::uint64_t amount)
{
    auto& label_shard = m_impl->shard_of(label);
    const std::lock_guard lock(label_shard.mutex);
    std::pair key{std::string(counter), sanitize(label)};
    if (label_shard.counters.size() >= max_labels &&
        !label_shard.counters.contains(key))
        key.second = "other";
    label_shard.counters[key] += amount;
}

std::uint64_t metrics::total(std::string_view counter) const
{
    std::uint64_t sum = 0;
    for (const auto& label_shard : m_impl->shards)
    {
        const std::lock_guard lock(label_shard.mutex);
        for (const auto& [key, value] : label_shard.counters)
            sum += key.first == counter ? value : 0;
    }
    return sum;
}

std::string metrics::page() const
{
    std::ostringstream out;
    for (const auto& label_shard : m_impl->shards)
    {
        const std::lock_guard lock(label_shard.mutex);
        for (const auto& [key, value] : label_shard.counters)
            out << "plantainward_" << key.first << "_total{label=\""
                << key.second << "\"} " << value << '\n';
        for (const auto& [key, series] : label_shard.distributions)
            print(out, key, series);
    }
    return out.str();
}

} // namespace plantainward::observe
