#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace plantainward::observe
{

/// Quantities that histograms measure, in milliseconds.
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

/// Counters by label, and histograms by tenant and class of request.
///
/// The number of labels is limited, so that callers can't make the memory of
/// the proxy grow; further labels are counted under "other".
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds one observation, in milliseconds, to a histogram.
    void observe(measure quantity, std::string_view tenant,
                 std::string_view request_class, double milliseconds);

    /// Adds to a counter; the label is its tenant, kind or other subject.
    void count(std::string_view counter, std::string_view label,
               std::uint64_t amount = 1);

    /// Sum of a counter over all labels.
    std::uint64_t total(std::string_view counter) const;

    /// All metrics, in the text format of Prometheus.
    std::string page() const;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace plantainward::observe
