#include "daemon/metrics.h"

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <sstream>
#include <utility>

#include <boost/histogram.hpp>

namespace goldcrestwood {

namespace {

    namespace bh = boost::histogram;

    constexpr unsigned bucketCount = 40;
    constexpr double lowestBucketSeconds = 0.001;
    constexpr double highestBucketSeconds = 100.0;
    constexpr std::size_t shardCount = 8;

    using Axis = bh::axis::regular<double, bh::axis::transform::log>;

    auto makeHistogram()
    {
        return bh::make_histogram(Axis(bucketCount, lowestBucketSeconds, highestBucketSeconds));
    }

    struct Timing {
        decltype(makeHistogram()) buckets = makeHistogram();
        double sum = 0;
        std::uint64_t count = 0;
    };

    /// Name and labels of one time series.
    using Series = std::pair<std::string, std::string>;

    /// A subset of the metrics with its own lock.
    struct Shard {
        mutable std::mutex mutex;
        std::map<Series, std::uint64_t> counters;
        std::map<Series, double> gauges;
        std::map<Series, Timing> timings;
    };

    std::string seriesText(const std::string& name, const std::string& labels)
    {
        return labels.empty() ? name : name + "{" + labels + "}";
    }

    std::string bucketLabels(const std::string& labels, const std::string& bound)
    {
        return (labels.empty() ? "" : labels + ",") + "le=\"" + bound + "\"";
    }

    void writeTiming(std::ostringstream& out, const Series& series, const Timing& timing)
    {
        const auto& [name, labels] = series;
        const auto& axis = timing.buckets.axis();
        auto cumulativeCount = static_cast<std::uint64_t>(timing.buckets.at(-1));
        for (int i = 0; i < axis.size(); ++i) {
            cumulativeCount += static_cast<std::uint64_t>(timing.buckets.at(i));
            std::ostringstream bound;
            bound << axis.bin(i).upper();
            out << seriesText(name + "_bucket", bucketLabels(labels, bound.str())) << ' ' << cumulativeCount << '\n';
        }
        out << seriesText(name + "_bucket", bucketLabels(labels, "+Inf")) << ' ' << timing.count << '\n';
        out << seriesText(name + "_sum", labels) << ' ' << timing.sum << '\n';
        out << seriesText(name + "_count", labels) << ' ' << timing.count << '\n';
    }

} // namespace

struct Metrics::State {
    std::array<Shard, shardCount> shards;

    Shard& shardOf(std::string_view name)
    {
        return this->shards.at(std::hash<std::string_view>()(name) % shardCount);
    }
};

Metrics::Metrics()
    : state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view labels, std::uint64_t amount)
{
    auto& shard = this->state->shardOf(name);
    const std::lock_guard lock(shard.mutex);
    shard.counters[{ std::string(name), std::string(labels) }] += amount;
}

void Metrics::set(std::string_view name, std::string_view labels, double value)
{
    auto& shard = this->state->shardOf(name);
    const std::lock_guard lock(shard.mutex);
    shard.gauges[{ std::string(name), std::string(labels) }] = value;
}

void Metrics::observe(std::string_view name, std::string_view labels, Duration value)
{
    auto& shard = this->state->shardOf(name);
    const std::lock_guard lock(shard.mutex);
    auto& timing = shard.timings[{ std::string(name), std::string(labels) }];
    timing.buckets(toSeconds(value));
    timing.sum += toSeconds(value);
    timing.count += 1;
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view labels) const
{
    auto& shard = this->state->shardOf(name);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.counters.find({ std::string(name), std::string(labels) });
    return found == shard.counters.end() ? 0 : found->second;
}

std::string Metrics::prometheusText() const
{
    std::ostringstream out;
    for (const auto& shard : this->state->shards) {
        const std::lock_guard lock(shard.mutex);
        for (const auto& [series, value] : shard.counters)
            out << seriesText(series.first, series.second) << ' ' << value << '\n';
        for (const auto& [series, value] : shard.gauges)
            out << seriesText(series.first, series.second) << ' ' << value << '\n';
        for (const auto& [series, timing] : shard.timings)
            writeTiming(out, series, timing);
    }
    return out.str();
}

} // namespace goldcrestwood
