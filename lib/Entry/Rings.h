/// @file
/// Ring buffers that connect the threads of an entry daemon. Their capacities guarantee that outcomes of attempts and
/// answers to callers always fit, since the number of attempts and pending requests is limited on admission.
#pragma once

#include <eelgrasscleat/Entry/CoreEvents.h>
#include <eelgrasscleat/Support/Ring.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Eelgrasscleat
{

using PlatformAction = std::variant<AppendToLog, ReadFromLog, ReadInstanceList>;

/// Snapshot that the operators' port serves.
struct StatusSnapshot
{
    bool ready = false;
    std::string json; ///< An EntryStatus as JSON.
};

using EventRing = Ring<CoreEvent>;

/// Rings to the decision thread, one for each writing thread.
struct EventRings
{
    /// @param entries capacity of the ring of each thread
    /// @param targetThreads number of threads that send starts to targets
    /// @param wakeCore called to wake the decision thread
    EventRings(std::size_t entries, std::size_t targetThreads, const std::function<void()> &wakeCore)
        // A pending request can cause two events: the request itself and its caller's disconnect.
        : fromCallers(entries * 2, wakeCore)
        , fromPeers(entries, wakeCore)
        , fromPlatform(entries, wakeCore)
    {
        for (std::size_t i = 0; i < targetThreads; ++i) {
            fromTargets.push_back(std::make_unique<EventRing>(entries, wakeCore));
        }
    }

    EventRing fromCallers;
    EventRing fromPeers;
    EventRing fromPlatform;
    std::vector<std::unique_ptr<EventRing>> fromTargets; ///< One for each target thread.
};

/// Rings from the decision thread, one for each reading thread.
struct ActionRings
{
    Ring<AnswerCaller> toCallers;
    Ring<SendToPeer> toPeers;
    Ring<PlatformAction> toPlatform;
    Ring<StatusSnapshot> toOperators;
    std::vector<std::unique_ptr<Ring<StartOnTarget>>> toTargets; ///< One for each target thread.
};

} // namespace Eelgrasscleat
