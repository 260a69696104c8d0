/// @file
/// Interfaces between a dispatcher instance and its environment: callers and the coordination store. Adapters implement
/// them for one platform; tests use fakes.
#pragma once

#include <eelgrasscleat/Dispatch/CrashHistory.h>
#include <eelgrasscleat/Dispatch/EvacuationView.h>
#include <eelgrasscleat/Dispatch/FleetView.h>
#include <eelgrasscleat/Dispatch/ZoneOwnership.h>
#include <eelgrasscleat/Support/Error.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Eelgrasscleat
{

/// The record under which an instance registers itself in the coordination store.
struct InstanceRegistration
{
    InstanceName name;
    ZoneName zone;
    std::string address; ///< IP address.
    std::uint16_t port = 0; ///< Port for connections of other instances.
    InstanceCapacity capacity;
    bool operator==(const InstanceRegistration &) const = default;
};

/// Operations that a caller may request on jobs.
enum class JobAction
{
    Submit,
    ReadState,
    Cancel,
    CountPending, ///< Counts the open jobs of the route.
};

/// A caller's request. The part of the path after the route's prefix is the job's id.
struct CallerRequest
{
    CallerId caller;
    JobAction action = JobAction::Submit;
    std::string requestId; ///< Chosen by the caller, for logs; may be empty.
    std::string host;
    std::string path;
    Duration timeout {}; ///< Timeout given by the caller; zero if unspecified.
    Result<JobRequest> job; ///< Submit: the job without the fields that its route determines.
    bool mustBeStored = false; ///< Submit: the job must be persisted, since the caller does not wait for its end.
};

/// Sends answers to callers and controls their connections.
class CallerFrontend
{
public:
    virtual ~CallerFrontend() = default;
    /// Reports the end of a submitted job, or its refusal.
    virtual void answerEnd(CallerId caller, const JobEnd &end) = 0;
    /// @param active whether the job is open; false if it is unknown
    virtual void answerState(CallerId caller, bool active) = 0;
    virtual void answerPendingCount(CallerId caller, std::uint32_t jobs) = 0;
    /// Sets whether the platform's load balancer should send new connections.
    virtual void setReady(bool ready) = 0;
    /// Applies the limits that @p configuration sets for requests and connections.
    virtual void setLimits(const FleetConfiguration &configuration) = 0;
    /// Closes all connections of callers at once.
    virtual void abortConnections() = 0;
    /// Graceful shutdown: closes each connection after its last answer.
    virtual void closeAfterAnswers() = 0;
    /// @returns whether no request is unanswered and no answer is still being sent.
    [[nodiscard]] virtual bool isIdle() const = 0;
};

/// Receives the events of callers.
class CallerEventHandler
{
public:
    virtual ~CallerEventHandler() = default;
    virtual void requestReceived(CallerRequest request) = 0;
    virtual void callerDisconnected(CallerId caller) = 0;
};

/// The platform's coordination store: the configuration, the lists of instances and targets, and the membership group
/// that determines which instance owns a zone's targets.
class CoordinationStore
{
public:
    virtual ~CoordinationStore() = default;
    /// Starts watching the configuration and the registered instances.
    virtual void start() = 0;
    /// Registers this instance. Retries until the write has succeeded.
    virtual void registerInstance(const InstanceRegistration &instance) = 0;
    /// Removes the registration of this instance.
    virtual void deregisterInstance(const InstanceName &name, std::function<void()> done) = 0;
    /// Writes a crash for all owners, present and later ones. Retries until the write has succeeded.
    virtual void publishCrash(const TargetCrash &crash) = 0;
    /// Removes a published crash. Not repeated: other owners remove it later.
    virtual void withdrawCrash(const TargetLife &target) = 0;
    /// Starts or stops watching the targets of this instance's zone and the crashes of all zones.
    virtual void watchTargets(bool watch) = 0;
    /// Reads the targets of any zone once, for a peer that the store turns away.
    virtual void readTargets(const ZoneName &zone, std::function<void(Result<TargetListing>)> done) = 0;
    /// Joins the zone's group, or renews the membership. After an error it is unknown whether the call took effect.
    virtual void renewMembership(std::uint64_t generation,
                                 std::chrono::milliseconds timeToLive,
                                 std::function<void(Result<MembershipAnswer>)> done) = 0;
    virtual void leaveGroup(std::function<void(Result<Done>)> done) = 0;
};

/// Receives the events of the coordination store.
class StoreEventHandler
{
public:
    virtual ~StoreEventHandler() = default;
    virtual void configurationReceived(FleetConfiguration configuration) = 0;
    /// All evacuated zones were read.
    virtual void evacuationsListed(EvacuatedZones zones) = 0;
    /// The operator has evacuated a zone or taken it back. @param version see EvacuatedZones::version
    virtual void evacuationChanged(const ZoneName &zone, bool evacuated, std::uint64_t version) = 0;
    /// @param version see TargetListing::version
    virtual void targetUpdated(const DispatchTarget &target, std::uint64_t version) = 0;
    virtual void targetRemoved(const TargetName &target, std::uint64_t version) = 0;
    /// The complete list of the zone's targets was read.
    virtual void targetListReceived(const TargetListing &listing) = 0;
    /// All entries that the list of targets has were reported.
    virtual void targetListConfirmed() = 0;
    /// An owner has published a crash.
    virtual void crashPublished(const TargetCrash &crash) = 0;
    virtual void crashWithdrawn(const TargetLife &target) = 0;
    virtual void instanceUpdated(const InstanceRegistration &instance) = 0;
    virtual void instanceRemoved(const InstanceName &name) = 0;
    /// A record could not be parsed and was skipped.
    virtual void recordRejected(const Error &error) = 0;
    /// The store became reachable or unreachable.
    virtual void storeReachabilityChanged(bool reachable, const std::string &detail) = 0;
};

} // namespace Eelgrasscleat
