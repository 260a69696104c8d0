/// @file
/// A simulated availability zone under the load of the users' job types.
#pragma once

#include "FakeFleet.h"
#include "JobEndObserver.h"

#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// A job type from the users' load specification.
struct JobType
{
    std::uint32_t priority;
    std::uint32_t meanTasks;
    Duration work;
    double perSecond; ///< Arrival rate in a zone of 16 targets at the users' load.
};

/// Tasks of a load, and the targets that run them.
struct LoadShape
{
    FleetShape fleet;
    std::uint32_t minMilliCores = 11000; ///< Demand of a task.
    std::uint32_t milliCoresRange = 6000;
    double longShare = 0; ///< Share of jobs that take longFactor times as long as their estimates tell.
    double longFactor = 1;
};

constexpr JobType kUrgentWide { 0, 8, std::chrono::milliseconds(60), 11.5 };
constexpr JobType kShort { 1, 2, std::chrono::milliseconds(200), 33.3 };
constexpr JobType kLong { 2, 4, std::chrono::milliseconds(900), 2.1 };

/// A simulated availability zone under load.
class LoadedZone : public JobEndObserver
{
public:
    static inline const InstanceName kHome { "home" };

    /// Outcome counts of the jobs of one priority.
    struct Tally
    {
        int submitted = 0;
        int inTime = 0;
        int complete = 0;
        int completeTasks = 0;
        int refused = 0;
        int abandoned = 0;
        std::vector<Duration> untilRefusal;
    };

    explicit LoadedZone(std::uint64_t seed, std::size_t targets = 16, LoadShape shape = {})
        : fleet(queue, seed)
        , m_shape(std::move(shape))
        , m_commands(fleet, queue)
        , dispatcher(DispatcherPolicy(), m_commands, *this)
    {
        m_commands.dispatcher = &dispatcher;
        fleet.addTargets(targets, m_shape.fleet);
        for (const FakeTarget &it : fleet.targets) {
            dispatcher.targetOwned(it.description, FencingToken(1), queue.now());
        }
        tick();
    }

    /// Schedules submissions of a job type at @p factor times the users' arrival rate.
    void submitLoad(const JobType &type, double factor, std::chrono::seconds length)
    {
        const double perSecond = type.perSecond * factor;
        std::exponential_distribution<double> gap(perSecond);
        double at = gap(fleet.random);
        while (at < static_cast<double>(length.count())) {
            queue.after(Duration(static_cast<Duration::rep>(at * 1e6)), [this, type] { submit(type); });
            at += gap(fleet.random);
        }
    }

    void run(Duration length)
    {
        queue.runUntil(queue.now() + length);
    }

    void jobEnded(const InstanceName &, const JobEnd &end) override
    {
        const Pending &job = m_pending.at(end.ticket);
        Tally &tally = tallies[job.priority];
        if (end.outcome == JobOutcome::Complete) {
            ++tally.complete;
            tally.completeTasks += static_cast<int>(job.tasks);
            tally.inTime += queue.now() <= job.objective ? 1 : 0;
        }
        tally.abandoned += end.outcome == JobOutcome::Abandoned ? 1 : 0;
        if (end.outcome == JobOutcome::Refused) {
            ++tally.refused;
            tally.untilRefusal.push_back(queue.now() - job.submitted);
        }
    }
    void runDecided(std::string_view decision, const RunName &, const TargetName &target, double) override
    {
        ++decisions[std::string(decision)];
        if (decision == "start") {
            ++starts[target];
        }
    }

    EventQueue queue;
    FakeFleet fleet;

private:
    LoadShape m_shape;
    FakeTargetCommands m_commands;

public:
    Dispatcher dispatcher;
    std::map<std::uint32_t, Tally> tallies; ///< By priority.
    std::map<TargetName, int> starts;
    std::map<std::string, int> decisions; ///< By name.

private:
    struct Pending
    {
        std::uint32_t priority;
        std::uint32_t tasks;
        Instant submitted;
        Instant objective;
    };

    void tick()
    {
        dispatcher.homeContacted(kHome, queue.now());
        dispatcher.advance(queue.now());
        queue.after(std::chrono::milliseconds(40), [this] { tick(); });
    }

    void submit(const JobType &type)
    {
        std::lognormal_distribution<double> spread(-0.08, 0.4);
        JobRequest request;
        const std::uint64_t ticket = ++m_lastTicket;
        request.id = JobId("job" + std::to_string(ticket));
        request.route = RouteName("route" + std::to_string(type.priority));
        request.service = ServiceName("service");
        request.payload = "payload";
        request.priority = type.priority;
        request.attempts = 2;
        request.stretch = 1.6;
        request.latencyTarget = std::chrono::milliseconds(60);
        request.submitted = queue.now();
        request.deadline = queue.now() + std::chrono::milliseconds(3500);
        JobStep step;
        step.tasks = std::max(1U, static_cast<std::uint32_t>(std::lround(type.meanTasks * spread(fleet.random))));
        const auto extra = static_cast<std::uint32_t>(drawBelow(fleet.random, m_shape.milliCoresRange));
        step.demand = { m_shape.minMilliCores + extra, 64, 0 };
        auto work = std::chrono::duration_cast<Duration>(type.work * spread(fleet.random));
        step.estimate = std::chrono::duration_cast<Duration>(work * spread(fleet.random));
        if (m_shape.longShare > 0 && std::uniform_real_distribution<double>(0, 1)(fleet.random) < m_shape.longShare) {
            work = std::chrono::duration_cast<Duration>(work * m_shape.longFactor);
        }
        request.steps.push_back(step);
        for (std::uint32_t i = 0; i < step.tasks; ++i) {
            fleet.registerTask({ request.id, 0, i }, step.demand, work);
        }
        const Instant objective =
            queue.now() + std::chrono::duration_cast<Duration>(work * request.stretch) + request.latencyTarget;
        m_pending[ticket] = { type.priority, step.tasks, queue.now(), objective };
        ++tallies[type.priority].submitted;
        dispatcher.homeContacted(kHome, queue.now());
        dispatcher.submit({ kHome, ticket }, std::move(request), queue.now());
    }

    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_lastTicket = 0;
};

} // namespace Eelgrasscleat
