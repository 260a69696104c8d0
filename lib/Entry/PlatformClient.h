/// @file
/// Client of the platform: reads and appends of the log, reads of the instance list.
#pragma once

#include "Rings.h"

#include <eelgrasscleat/Platform/LogService.h>
#include <eelgrasscleat/Support/Metrics.h>

#include <settings.pb.h>

#include <memory>

namespace Eelgrasscleat
{

/// Executes calls of the platform. All methods run on the platform's thread.
class PlatformClient
{
public:
    PlatformClient(const schema::EntrySettings &settings, EventRing &events, Metrics &metrics);

    /// Executes one action asynchronously; its result is reported as an event.
    void execute(const PlatformAction &action);

private:
    void append(const AppendToLog &action);
    void read(const ReadFromLog &action);
    void readInstanceList();
    void pushEvent(CoreEvent event);

    EventRing &m_events;
    Metrics &m_metrics;
    std::unique_ptr<LogService> m_log;
    std::unique_ptr<InstanceList> m_list;
};

} // namespace Eelgrasscleat
