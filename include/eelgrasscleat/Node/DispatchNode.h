/// @file
/// One dispatching instance: joins home, dispatcher, ownership and views with peers, callers, store and targets. Lives
/// on one thread with a Qt event loop.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Dispatch/JobRouter.h>
#include <eelgrasscleat/Node/Ports.h>
#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Metrics.h>

#include <functional>
#include <memory>

namespace Eelgrasscleat
{

/// Settings of an instance.
struct NodeSettings
{
    AnnouncedInstance self;
    DispatcherPolicy dispatcher;
    JobRouterPolicy home;
    OwnershipPolicy ownership;
    /// Shards of each zone's targets; the same on all instances.
    std::uint32_t shards = 16;
    /// How long an entry of the list of targets is kept after it vanished.
    Duration lapseGrace = std::chrono::milliseconds(2500);
    /// Planned stop: time in which the balancer takes the instance out of rotation.
    Duration rotationTime = std::chrono::milliseconds(3200);
    /// Planned stop: targets take short jobs for this long, as others can't have them before long runs have ended.
    Duration drainTime = std::chrono::milliseconds(1500);
    /// Planned stop: every caller is answered by then.
    Duration answerTime = std::chrono::milliseconds(5200);
    /// Planned stop: the process ends by then, before the platform kills it.
    Duration stopTime = std::chrono::milliseconds(5500);
};

/// The instance.
class DispatchNode
{
public:
    /// @param orders must outlive the node
    /// @param random for the incarnation and for jitter
    DispatchNode(const NodeSettings &settings, TargetCommands &orders, Metrics &metrics, std::uint64_t random);
    ~DispatchNode();
    DispatchNode(const DispatchNode &) = delete;
    DispatchNode &operator=(const DispatchNode &) = delete;

    /// What the adapters report to.
    [[nodiscard]] CallerEvents &callerEvents();
    [[nodiscard]] StoreEvents &storeEvents();
    [[nodiscard]] CommandResultHandler &orderEvents();

    /// Starts with the adapters, which must outlive the node.
    /// @returns an error with step Connect if the port for other instances can't be opened.
    Result<Done> start(CallerPort &callers, CoordinationStore &store);
    /// Planned stop. @p stopped is called when nothing is left to do.
    void beginStop(std::function<void()> stopped);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @returns the time as the instance's parts see it: it goes on while the machine is suspended.
Instant suspendAwareNow();

} // namespace Eelgrasscleat
