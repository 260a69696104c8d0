/// @file
/// Fake callers, store and targets of one instance.
#pragma once

#include <eelgrasscleat/Node/DispatchNode.h>

#include <map>
#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// Records the answers to callers.
class RecordingCallerFrontend : public CallerFrontend
{
public:
    void answerEnd(CallerId caller, const JobEnd &end) override
    {
        ends[caller.value] = end;
    }
    void answerState(CallerId, bool) override
    {
    }
    void answerPendingCount(CallerId, std::uint32_t) override
    {
    }
    void setReady(bool value) override
    {
        ready = value;
    }
    void setLimits(const FleetConfiguration &) override
    {
    }
    void abortConnections() override
    {
    }
    void closeAfterAnswers() override
    {
        closing = true;
    }
    [[nodiscard]] bool isIdle() const override
    {
        return true;
    }

    std::map<std::uint64_t, JobEnd> ends;
    bool ready = false;
    bool closing = false;
};

/// A store whose group has no other members: the instance gets the zone's only shard at once.
class SoleMemberStore : public CoordinationStore
{
public:
    void start() override
    {
    }
    void registerInstance(const InstanceRegistration &) override
    {
    }
    void deregisterInstance(const InstanceName &, std::function<void()> done) override
    {
        done();
    }
    void watchTargets(bool) override
    {
    }
    void publishCrash(const TargetCrash &crash) override
    {
        published.push_back(crash);
    }
    void withdrawCrash(const TargetLife &) override
    {
    }
    void readTargets(const ZoneName &, std::function<void(Result<TargetListing>)> done) override
    {
        ++listings;
        if (listing) {
            done(*listing);
        } else {
            done(Error { ErrorCode::Unavailable, Step::ReadRecords, "store", "turned away" });
        }
    }
    void renewMembership(std::uint64_t,
                         std::chrono::milliseconds,
                         std::function<void(Result<MembershipAnswer>)> done) override
    {
        done(MembershipAnswer { 5, { 0 }, true });
    }
    void leaveGroup(std::function<void(Result<Done>)> done) override
    {
        done(Done {});
    }

    std::vector<TargetCrash> published;
    std::optional<TargetListing> listing; ///< Targets of the zone that a peer asks for; nothing: the store refuses.
    int listings = 0;
};

/// Targets that accept all commands. Runs end when the test reports so.
class FakeTargets : public TargetCommands
{
public:
    void start(const StartCommand &command) override
    {
        started.push_back(command.run);
        events->startAnswered(command.target.name, command.run, { CommandStatus::Accepted, TargetTime(1), true });
    }
    void stop(const StopCommand &command) override
    {
        stopped.push_back(command.run);
        events->stopAnswered(command.target.name, command.run, { CommandStatus::Accepted, TargetTime(1), true });
    }
    void inspect(const InspectCommand &command) override
    {
        inspections.push_back(command);
    }
    /// Answers the last inspection.
    void report(const TargetReport &report)
    {
        const InspectCommand command = inspections.back();
        events->inspected(
            command.target.name, command.number, report, { CommandStatus::Accepted, TargetTime(++clock), true });
    }

    CommandResultHandler *events = nullptr;
    std::vector<RunName> started;
    std::vector<RunName> stopped;
    std::vector<InspectCommand> inspections;
    TargetTime::rep clock = 0;
};

/// A configuration with one route, on which no job is ever too late.
inline FleetConfiguration singleRoute()
{
    FleetConfiguration configuration;
    configuration.version = ConfigVersion(1);
    FleetRoute route;
    route.name = RouteName("route");
    route.host = "host";
    route.pathPrefix = "/jobs/";
    route.service = ServiceName("service");
    route.timeout = std::chrono::seconds(20);
    route.stretch = 1000;
    configuration.routes.push_back(route);
    return configuration;
}

/// A target of singleRoute()'s service.
inline DispatchTarget singleTarget()
{
    DispatchTarget target;
    target.name = TargetName("target");
    target.service = ServiceName("service");
    target.zone = ZoneName("zone");
    target.capacity = { 4000, 4000, 0 };
    return target;
}

/// A request that submits a job of one task.
inline CallerRequest submission(std::uint64_t caller, const std::string &id, std::uint32_t milliCores)
{
    JobRequest job;
    job.payload = "payload";
    JobStep step;
    step.demand = { milliCores, 10, 0 };
    step.estimate = std::chrono::milliseconds(100);
    job.steps.push_back(step);
    CallerRequest request;
    request.caller = CallerId(caller);
    request.host = "host";
    request.path = "/jobs/" + id;
    request.job = job;
    return request;
}

} // namespace Eelgrasscleat
