/// @file
/// The platform's answers as events.
#include "PlatformDuty.h"

#include <prometheus/counter.h>

#include <cassert>
#include <utility>

namespace Eelgrasscleat
{

static PlatformAddress addressOf(const schema::PlatformSettings &settings)
{
    PlatformAddress address;
    address.address = settings.address();
    address.port = static_cast<std::uint16_t>(settings.port());
    address.timeout = std::chrono::milliseconds(settings.timeout_ms());
    return address;
}

PlatformDuty::PlatformDuty(const schema::EntrySettings &settings, EventRing &events, Metrics &metrics)
    : m_events(events)
    , m_metrics(metrics)
    , m_log(makeHttpLogService(addressOf(settings.platform())))
    , m_list(makeHttpInstanceList(addressOf(settings.platform())))
{
}

void PlatformDuty::carryOut(const PlatformAction &action)
{
    if (const auto *appended = std::get_if<AppendToLog>(&action)) {
        append(*appended);
    } else if (const auto *wanted = std::get_if<ReadFromLog>(&action)) {
        read(*wanted);
    } else {
        fetchList();
    }
}

void PlatformDuty::append(const AppendToLog &action)
{
    m_metrics
        .counter(
            "eelgrasscleat_log_appends_total", "stream", logStreamName(action.stream), "Appends to the platform's log")
        .Increment();
    const LogStream stream = action.stream;
    m_log->append(stream, action.record, [this, stream](Result<std::uint64_t> offset) {
        pass(LogAppendCompleted { stream, std::move(offset) });
    });
}

void PlatformDuty::read(const ReadFromLog &action)
{
    const LogStream stream = action.stream;
    const std::uint64_t from = action.from;
    const Instant sentAt = std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    m_log->read(stream, from, [this, stream, from, sentAt](Result<schema::RecordPage> page) {
        pass(LogReadCompleted { stream, from, sentAt, std::move(page) });
    });
}

void PlatformDuty::fetchList()
{
    m_list->fetch([this](Result<schema::InstanceListAnswer> list) { pass(InstanceListReceived { std::move(list) }); });
}

void PlatformDuty::pass(CoreEvent event)
{
    // The decision thread has at most one append and one read of each stream under way, far fewer than the ring holds.
    const bool pushed = m_events.tryPush(std::move(event));
    assert(pushed && "the ring holds all answers of the platform that can be under way");
    static_cast<void>(pushed);
}

} // namespace Eelgrasscleat
