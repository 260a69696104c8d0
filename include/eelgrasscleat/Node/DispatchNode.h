/// @file
/// A dispatcher instance: connects the job router, the dispatcher, zone ownership and the configuration view with
/// peers, callers, the coordination store and targets. Runs on one thread with a Qt event loop.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Dispatch/JobRouter.h>
#include <eelgrasscleat/Node/ClientLimits.h>
#include <eelgrasscleat/Node/Ports.h>
#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Metrics.h>

#include <functional>
#include <memory>
#include <set>

namespace Eelgrasscleat
{

/// Settings of an instance. The shutdown times are measured from the start of a graceful shutdown.
struct NodeSettings
{
    InstanceRegistration self;
    ProcessCapacity process;
    bool isBootstrap = false; ///< The whole deployment starts for the first time.
    /// Longest payload of a job, in bytes: each start of a task carries it. Four bytes for each of 4,000 characters.
    std::size_t maxPayloadBytes = 16000;
    DispatcherPolicy dispatcher;
    JobRouterPolicy router;
    OwnershipPolicy ownership;
    /// Number of shards into which each zone's targets are divided. Must be the same on all instances.
    std::uint32_t shards = 16;
    /// How long a target is kept after its record was removed from the store.
    Duration targetRemovalGrace = std::chrono::milliseconds(2500);
    /// The deployment's availability zones; empty if unknown.
    std::set<ZoneName> zones;
    /// How long after it learns that the operator has evacuated its zone the instance starts the remaining tasks of
    /// jobs that have begun. With the time in which it learns of it, well below the platform's limit of 5 s.
    Duration evacuationGrace = std::chrono::milliseconds(700);
    /// Graceful shutdown: time for the load balancer to take the instance out of rotation.
    Duration balancerRemovalTime = std::chrono::milliseconds(3200);
    /// Graceful shutdown: this instance keeps starting short jobs on its targets for this long, because other instances
    /// cannot take the targets over until their long runs have ended.
    Duration drainTime = std::chrono::milliseconds(1500);
    /// Graceful shutdown: all callers have been answered by this time.
    Duration answerDeadline = std::chrono::milliseconds(5200);
    /// Graceful shutdown: the process exits by this time, before the platform kills it.
    Duration exitDeadline = std::chrono::milliseconds(5500);
};

/// A dispatcher instance. All member functions must be called on the thread of the event loop.
class DispatchNode
{
public:
    /// @param commands must outlive the node
    /// @param random for the incarnation id and for jitter
    DispatchNode(const NodeSettings &settings, TargetCommands &commands, Metrics &metrics, std::uint64_t random);
    ~DispatchNode();
    DispatchNode(const DispatchNode &) = delete;
    DispatchNode &operator=(const DispatchNode &) = delete;

    /// Handlers to which the adapters report events.
    [[nodiscard]] CallerEventHandler &callerEvents();
    [[nodiscard]] StoreEventHandler &storeEvents();
    [[nodiscard]] CommandResultHandler &commandResultHandler();

    /// Starts the instance. @p callers and @p store must outlive it.
    /// @returns an error with step Connect if the port for other instances cannot be opened.
    Result<Done> start(CallerFrontend &callers, CoordinationStore &store);
    /// Begins a graceful shutdown. @p stopped is called when it has completed.
    void beginStop(std::function<void()> stopped);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// @returns the monotonic time that all components of an instance use. It includes time during which the host was
/// suspended.
Instant suspendAwareNow();

} // namespace Eelgrasscleat
