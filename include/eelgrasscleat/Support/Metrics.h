/// @file
/// Counters of one process, served in the text format of Prometheus.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace prometheus
{
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace Eelgrasscleat
{

/// Registry of a process's counters and gauges. Thread-safe. Look a counter up once and keep the reference.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// @param name family, for example "eelgrasscleat_refusals_total"
    /// @param label name of the label, empty for none
    /// @param value value of the label
    /// @param help one line of explanation
    /// @returns the counter of that family and label, made at the first call.
    prometheus::Counter &
    counter(std::string_view name, std::string_view label, std::string_view value, std::string_view help);

    /// The same for a gauge.
    prometheus::Gauge &
    gauge(std::string_view name, std::string_view label, std::string_view value, std::string_view help);

    /// The same for a histogram of latencies in milliseconds, with fixed buckets from 1 ms to 5 s.
    prometheus::Histogram &
    latency(std::string_view name, std::string_view label, std::string_view value, std::string_view help);

    /// @returns all metrics in the text format.
    [[nodiscard]] std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace Eelgrasscleat
