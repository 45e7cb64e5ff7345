#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace plantainward::observe
{

/// What a histogram of the proxy measures, in milliseconds.
enum class measure : std::uint8_t
{
    latency,
    queue_time,
    read_age,
    confirmation_wait,
    /// From the start of a promotion call to its end.
    promotion_call,
    /// From the start of a claim to its end.
    claim
};

/// Counters and histograms, each by tenant and class.
///
/// Labels beyond a bound are counted under "other", so that callers can't
/// make the proxy's memory grow.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds one observation in milliseconds.
    void observe(measure what, std::string_view tenant, std::string_view klass,
                 double milliseconds);

    /// Adds to a counter; the label is its tenant, kind or other subject.
    void count(std::string_view counter, std::string_view label,
               std::uint64_t amount = 1);

    /// Value of a counter over all labels.
    std::uint64_t total(std::string_view counter) const;

    /// All metrics in the text format that usual scrapers read.
    std::string page() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace plantainward::observe
