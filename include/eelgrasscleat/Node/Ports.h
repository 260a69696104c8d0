/// @file
/// What surrounds a dispatching instance, as abstract interfaces: callers, the platform's store, and orders to targets.
/// An adapter implements them for one platform; tests bring fakes.
#pragma once

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

/// An instance of the system as it announces itself.
struct AnnouncedInstance
{
    InstanceName name;
    ZoneName zone;
    std::string address; ///< IP number.
    std::uint16_t port = 0; ///< For other instances.
    bool operator==(const AnnouncedInstance &) const = default;
};

/// What a caller may do about a job.
enum class JobAction
{
    Submit,
    ReadState,
    Cancel,
    CountPending, ///< Of the whole route.
};

/// A caller's request about a job. The part of the path behind the route's prefix names the job.
struct CallerRequest
{
    CallerId caller;
    JobAction action = JobAction::Submit;
    std::string requestId; ///< Chosen by the caller, for logs; may be empty.
    std::string host;
    std::string path;
    Duration timeAllowed {}; ///< How long the caller waits; 0: not told.
    Result<JobRequest> job; ///< Submit: the job without what its route decides.
    bool mustBeStored = false; ///< Submit: the caller doesn't wait for the end.
};

/// Answers to callers.
class CallerPort
{
public:
    virtual ~CallerPort() = default;
    /// End of a submitted job, or its refusal.
    virtual void answerEnd(CallerId caller, const JobEnd &end) = 0;
    /// @param active whether the job is at work; false: it isn't known
    virtual void answerState(CallerId caller, bool active) = 0;
    virtual void answerPending(CallerId caller, std::uint32_t jobs) = 0;
    /// Whether the platform's balancer should send new connections.
    virtual void setReady(bool ready) = 0;
    /// Bounds from the configuration.
    virtual void setLimits(const FleetConfiguration &configuration) = 0;
    /// Breaks all connections of callers.
    virtual void abortAll() = 0;
    /// Planned stop: connections close after their last answer.
    virtual void closeAfterAnswers() = 0;
    [[nodiscard]] virtual bool isIdle() const = 0;
};

/// What callers do.
class CallerEvents
{
public:
    virtual ~CallerEvents() = default;
    virtual void requestArrived(CallerRequest request) = 0;
    virtual void callerGone(CallerId caller) = 0;
};

/// The platform's store: configuration, lists, and the group that decides who owns a zone.
class CoordinationStore
{
public:
    virtual ~CoordinationStore() = default;
    /// Follows the configuration and the announced instances, from now on.
    virtual void start() = 0;
    /// Writes this instance's announcement, again until it has succeeded.
    virtual void announce(const AnnouncedInstance &instance) = 0;
    /// Removes it.
    virtual void withdraw(const InstanceName &name, std::function<void()> done) = 0;
    /// Starts or stops following the list of targets.
    virtual void followTargets(bool follow) = 0;
    /// Joins the group of the zone, or renews the membership. An error leaves open what has happened.
    virtual void renewMembership(std::uint64_t generation,
                                 std::chrono::milliseconds timeToLive,
                                 std::function<void(Result<MembershipAnswer>)> done) = 0;
    virtual void leaveGroup(std::function<void(Result<Done>)> done) = 0;
};

/// What the store tells.
class StoreEvents
{
public:
    virtual ~StoreEvents() = default;
    virtual void configurationRead(FleetConfiguration configuration) = 0;
    virtual void targetRead(const DispatchTarget &target) = 0;
    virtual void targetVanished(const TargetName &target) = 0;
    virtual void targetsListed(const std::vector<DispatchTarget> &targets) = 0;
    virtual void instanceRead(const AnnouncedInstance &instance) = 0;
    virtual void instanceVanished(const InstanceName &name) = 0;
    /// A record that can't be read; it names nothing to use.
    virtual void recordRejected(const Error &error) = 0;
    /// The store answers again, or no longer.
    virtual void storeReachable(bool reachable, const std::string &detail) = 0;
};

} // namespace Eelgrasscleat
