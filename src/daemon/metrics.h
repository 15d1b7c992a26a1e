#pragma once

/// @file
/// Counters and histograms of a process, exposed as Prometheus text.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "goldcrestwood/time.h"

namespace goldcrestwood {

/// Metrics by name; thread-safe.
class Metrics {
public:
    Metrics();
    ~Metrics();

    /// @param labels Prometheus labels without braces, such as `status="200"`; may be empty.
    void count(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);
    void set(std::string_view name, std::string_view labels, double value);
    /// Adds one duration to a histogram with logarithmic buckets from 1 ms to 100 s.
    void observe(std::string_view name, std::string_view labels, Duration value);

    /// @return The counter's value; 0 if it was never incremented.
    std::uint64_t counter(std::string_view name, std::string_view labels = {}) const;
    /// @return All metrics in Prometheus text format.
    std::string prometheusText() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace goldcrestwood
