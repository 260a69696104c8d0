/// @file
/// Conversion of the platform's answers to events.
#include "PlatformClient.h"

#include <prometheus/counter.h>

#include <cassert>
#include <utility>

namespace Eelgrasscleat
{

static PlatformAddress platformAddress(const schema::PlatformSettings &settings)
{
    PlatformAddress address;
    address.address = settings.address();
    address.port = static_cast<std::uint16_t>(settings.port());
    address.timeout = std::chrono::milliseconds(settings.timeout_ms());
    return address;
}

PlatformClient::PlatformClient(const schema::EntrySettings &settings, EventRing &events, Metrics &metrics)
    : m_events(events)
    , m_metrics(metrics)
    , m_log(makeHttpLogService(platformAddress(settings.platform())))
    , m_list(makeHttpInstanceList(platformAddress(settings.platform())))
{
}

void PlatformClient::execute(const PlatformAction &action)
{
    if (const auto *appendAction = std::get_if<AppendToLog>(&action)) {
        append(*appendAction);
    } else if (const auto *readAction = std::get_if<ReadFromLog>(&action)) {
        read(*readAction);
    } else {
        readInstanceList();
    }
}

void PlatformClient::append(const AppendToLog &action)
{
    m_metrics
        .counter(
            "eelgrasscleat_log_appends_total", "stream", logStreamName(action.stream), "Appends to the platform's log")
        .Increment();
    const LogStream stream = action.stream;
    m_log->append(stream, action.record, [this, stream](Result<std::uint64_t> offset) {
        pushEvent(LogAppendCompleted { stream, std::move(offset) });
    });
}

void PlatformClient::read(const ReadFromLog &action)
{
    const LogStream stream = action.stream;
    const std::uint64_t from = action.from;
    const Instant sentAt = std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    m_log->read(stream, from, [this, stream, from, sentAt](Result<schema::RecordPage> page) {
        pushEvent(LogReadCompleted { stream, from, sentAt, std::move(page) });
    });
}

void PlatformClient::readInstanceList()
{
    m_list->fetch(
        [this](Result<schema::InstanceListAnswer> list) { pushEvent(InstanceListReceived { std::move(list) }); });
}

void PlatformClient::pushEvent(CoreEvent event)
{
    // The decision thread has at most one append and one read of each stream in flight, far fewer than the ring holds.
    const bool pushed = m_events.tryPush(std::move(event));
    assert(pushed && "the ring holds all answers of the platform that can be in flight");
    static_cast<void>(pushed);
}

} // namespace Eelgrasscleat
