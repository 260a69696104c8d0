/// @file
/// Routes the jobs of callers connected to this instance to dispatchers, and reports their results to the callers. A
/// job may be divided among several dispatchers, each of which runs some of its tasks. Contains no clock, thread or
/// socket.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Dispatch/LateOffers.h>
#include <eelgrasscleat/Dispatch/TakeoverWait.h>
#include <eelgrasscleat/Dispatch/TaskDivision.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Eelgrasscleat
{

/// Weights and limits of the choice of a dispatcher.
struct JobRouterPolicy
{
    /// A dispatcher that has been silent for longer is considered dead; same value as DispatcherPolicy::homeTimeout.
    Duration dispatcherTimeout = std::chrono::milliseconds(600);
    /// Expected wait that a dispatcher in another availability zone must save: covers two zone crossings and the price
    /// of the transferred bytes.
    Duration crossZonePenalty = std::chrono::milliseconds(25);
    /// Maximum number of dispatchers asked to run a job in time before one that may run it late is asked, or the job is
    /// refused to the caller; each costs a round trip.
    std::uint32_t maxDispatchersTried = 3;
    DivisionPolicy division;
    /// Maximum number of open jobs. Bounds memory: a job takes about 2 KB.
    std::uint32_t maxOpenJobs = 4000;
    TakeoverWaitPolicy takeover;
    /// Retry delay given to a refused caller while all zones are evacuated: operators take a zone back after seconds.
    Duration evacuationRetryDelay = std::chrono::milliseconds(2000);
};

/// @returns the memory that a job takes until its caller is answered, with the copies on their way to dispatchers, in
/// bytes.
std::size_t openJobBytes(const JobRequest &request);

/// Receives the decisions of a JobRouter. Implementations must not call back into the router.
class JobRouterObserver
{
public:
    virtual ~JobRouterObserver() = default;
    /// Submits a job, or a part of it, to a dispatcher. A dispatcher never has two parts of a job.
    virtual void jobRouted(const InstanceName &dispatcher, std::uint64_t ticket, const JobRequest &request) = 0;
    /// A job waits for a dispatcher, at most until @p until.
    virtual void jobWaits(const JobRequest &request, Instant until) = 0;
    /// Cancels a job or part of it at a dispatcher.
    virtual void jobWithdrawn(const InstanceName &dispatcher, std::uint64_t ticket) = 0;
    /// Responds to the caller; called once for each submitted job unless its caller has disconnected.
    virtual void jobAnswered(CallerId caller, const JobEnd &end) = 0;
};

/// Routes jobs to dispatchers. The instance that runs the router of a job is the job's home instance.
class JobRouter
{
public:
    /// @param zone availability zone of this instance
    JobRouter(const JobRouterPolicy &policy, ZoneName zone, JobRouterObserver &observer);

    /// Routes a job, or keeps it while a dispatcher is expected to come in time for it.
    void submit(CallerId caller, JobRequest request);
    /// The caller closed its connection or canceled.
    void callerGone(CallerId caller);
    /// A dispatcher reported the result of a job or part of it.
    void jobEnded(const InstanceName &dispatcher, const JobEnd &end, Instant now);

    /// An instance that owns targets reported its load.
    void dispatcherReported(const InstanceName &name, const ZoneName &zone, const DispatcherLoad &load, Instant now);
    /// The instance no longer owns targets; jobs already routed to it continue.
    void dispatcherRetired(const InstanceName &name);
    /// The instance is gone or its session has ended: the results of its jobs will never arrive.
    void dispatcherLost(const InstanceName &name);

    /// This instance stood still: the callers of the jobs that wait for a dispatcher may have submitted them elsewhere.
    void abandonWaiting();

    /// Sets the zones that the operator has evacuated: their dispatchers get no jobs.
    void setEvacuatedZones(std::set<ZoneName> zones);

    /// Planned shutdown: caps the deadlines of open jobs at @p latest.
    void shortenDeadlines(Instant latest);

    /// Expires silent dispatchers and jobs whose deadline has passed.
    void advance(Instant now);

    /// @returns the number of jobs without a result.
    [[nodiscard]] std::size_t openJobs() const;
    /// @returns the number of dispatchers that accept jobs, or would but for the evacuation of their zone.
    [[nodiscard]] std::size_t dispatcherCount() const;
    /// @returns the dispatchers with open jobs of this instance.
    [[nodiscard]] std::set<InstanceName> dispatchersInUse() const;
    /// @returns whether a job with this identifier is open.
    [[nodiscard]] bool isOpen(const JobId &id) const;
    /// Cancels a job by its identifier. @returns whether it was open.
    bool cancel(const JobId &id);
    /// @returns the number of open jobs of a route.
    [[nodiscard]] std::uint32_t openJobs(const RouteName &route) const;

private:
    /// Some or all tasks of a job at one dispatcher.
    struct Part
    {
        InstanceName dispatcher;
        JobRequest request; ///< With the tasks of the part.
    };
    struct OpenJob
    {
        CallerId caller;
        JobRequest request;
        std::map<std::uint64_t, Part> parts; ///< Parts without a result, by ticket.
        std::map<InstanceName, JobEndReason> refusedBy; ///< With the reason.
        std::uint32_t refusals = 0; ///< Without those of dispatchers in evacuated zones.
        LateOffers lateOffers; ///< Of dispatchers that have refused the job.
        bool hasRun = false; ///< A part is complete.
    };
    /// A job that waits for a dispatcher.
    struct WaitingJob
    {
        Instant until {};
        Instant nextTryAt {};
    };
    struct DispatcherState
    {
        ZoneName zone;
        DispatcherLoad load;
        Instant lastReportAt {};
        bool ownsTargets = true;
        double routedMilliCores = 0; ///< Demand of the jobs routed there since its last report.
    };

    [[nodiscard]] bool canRun(const DispatcherState &state, const JobRequest &request) const;
    [[nodiscard]] DivisionCandidate
    candidate(const InstanceName &name, const DispatcherState &state, const JobRequest &request) const;
    [[nodiscard]] std::vector<TaskShare>
    chooseDispatchers(const OpenJob &job, const JobRequest &request, std::size_t &candidateCount) const;
    bool route(std::uint64_t number, OpenJob &job, const JobRequest &request);
    bool routeLate(std::uint64_t number, OpenJob &job, const JobRequest &request);
    void send(std::uint64_t number, OpenJob &job, const InstanceName &dispatcher, JobRequest request);
    void partRefused(std::uint64_t number, std::uint64_t ticket, const JobEnd &end, Instant now);
    void refuseUnroutable(std::uint64_t number);
    [[nodiscard]] bool hasPlaces(const JobRequest &request) const;
    void routeWaiting(Instant now);
    bool waitAgain(std::uint64_t number, OpenJob &job, Instant now);
    void endWaiting(Instant now);
    [[nodiscard]] bool hasDispatcher() const;
    [[nodiscard]] bool isEvacuated(const DispatcherState &state) const;
    [[nodiscard]] static bool hasAcceptedParts(const OpenJob &job);
    void withdraw(const OpenJob &job);
    void answer(std::uint64_t number, JobOutcome outcome, JobEndReason reason, Duration retryAfter);

    JobRouterPolicy m_policy;
    ZoneName m_zone;
    JobRouterObserver &m_observer;
    std::uint64_t m_lastJob = 0;
    std::uint64_t m_lastTicket = 0;
    std::map<std::uint64_t, OpenJob> m_open; ///< By number.
    std::map<std::uint64_t, std::uint64_t> m_jobOfTicket;
    std::map<CallerId, std::uint64_t> m_byCaller;
    std::map<InstanceName, DispatcherState> m_dispatchers;
    std::set<ZoneName> m_evacuatedZones;
    TakeoverWait m_takeoverWait;
    std::map<std::uint64_t, WaitingJob> m_waiting; ///< By number.
};

} // namespace Eelgrasscleat
