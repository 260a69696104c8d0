/// @file
/// Metrics over prometheus-cpp's registry.
#include <eelgrasscleat/Support/Metrics.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Eelgrasscleat
{

static prometheus::Labels makeLabels(std::string_view label, std::string_view value)
{
    if (label.empty()) {
        return {};
    }
    return { { std::string(label), std::string(value) } };
}

Metrics::Metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
}

Metrics::~Metrics() = default;

prometheus::Counter &
Metrics::counter(std::string_view name, std::string_view label, std::string_view value, std::string_view help)
{
    auto &family = prometheus::BuildCounter().Name(std::string(name)).Help(std::string(help)).Register(*m_registry);
    return family.Add(makeLabels(label, value));
}

prometheus::Gauge &
Metrics::gauge(std::string_view name, std::string_view label, std::string_view value, std::string_view help)
{
    auto &family = prometheus::BuildGauge().Name(std::string(name)).Help(std::string(help)).Register(*m_registry);
    return family.Add(makeLabels(label, value));
}

prometheus::Histogram &
Metrics::latency(std::string_view name, std::string_view label, std::string_view value, std::string_view help)
{
    static const prometheus::Histogram::BucketBoundaries kMilliseconds = { 1,   2,   5,   10,   20,   50,
                                                                           100, 200, 500, 1000, 2000, 5000 };
    auto &family = prometheus::BuildHistogram().Name(std::string(name)).Help(std::string(help)).Register(*m_registry);
    return family.Add(makeLabels(label, value), kMilliseconds);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace Eelgrasscleat
