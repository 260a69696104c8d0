/// @file
/// Targets that keep leases, fences and run numbers as the platform's do, on simulated time, behind a network that
/// loses, delays and reorders orders; they record every promise that was broken.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Support/Random.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Simulated time with events in order.
class EventQueue
{
public:
    void at(Instant when, std::function<void()> event);
    void after(Duration delay, std::function<void()> event);
    /// Runs all events up to @p end.
    void runUntil(Instant end);
    [[nodiscard]] Instant now() const
    {
        return m_now;
    }

private:
    Instant m_now { std::chrono::seconds(1000) };
    std::multimap<Instant, std::function<void()>> m_events;
};

/// What the network does to orders.
struct NetworkFaults
{
    double lost = 0; ///< Share of orders that are never carried out, and get no answer.
    double requestFailed = 0; ///< Share that are carried out and get no answer.
    double late = 0; ///< Share that get no answer, and are carried out 2 to 12 s later.
};

/// One target.
class FakeTarget
{
public:
    FakeTarget(DispatchTarget description, double slowness, double clockRate);

    CommandResult start(const StartCommand &order, Duration work, Instant now);
    CommandResult stop(FencingToken token, const RunName &run, Instant now);
    CommandResult inspect(const InspectCommand &order, TargetReport &report, Instant now);
    /// Ends what is done or has lapsed.
    void advance(Instant now);
    /// Everything ends, nothing is remembered, a new incarnation begins.
    void restart(Instant now);

    struct Run
    {
        ResourceDemand demand;
        Instant doneAt;
    };

    DispatchTarget description;
    std::map<RunName, Run> running;
    bool hangs = false; ///< Tasks make no progress.
    bool failsAll = false;

private:
    [[nodiscard]] TargetTime clock(Instant now) const;
    void end(const RunName &run, RunEndKind kind);

    double m_slowness;
    double m_clockRate;
    Instant m_startedAt {};
    TargetTime m_leaseEnd { 0 };
    std::uint64_t m_fence = 0;
    std::uint64_t m_lastEnd = 0;
    std::vector<ReportedEnd> m_ends;
    std::map<TaskName, std::uint32_t> m_highestEnded;
    std::map<RunName, Instant> m_begun;
};

/// All targets and the network to them.
class FakeFleet
{
public:
    FakeFleet(EventQueue &queue, std::uint64_t seed);

    void addTargets(std::size_t count);
    /// Registers a submitted task, so that its start is asked for.
    void expectTask(const TaskName &task, const ResourceDemand &demand, Duration work);
    /// @returns broken promises, one text each.
    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    [[nodiscard]] bool hasStarted(const JobId &job) const
    {
        return m_startedJobs.count(job) > 0;
    }
    /// Checks what must hold at every moment.
    void check();

    std::vector<FakeTarget> targets;
    NetworkFaults faults;
    RandomSource random;

private:
    friend class FakeOrders;
    struct Task
    {
        ResourceDemand demand;
        Duration work;
    };

    EventQueue &m_queue;
    std::map<TaskName, Task> m_tasks;
    std::set<JobId> m_startedJobs;
    std::vector<std::string> m_violations;
};

/// Orders of one owner.
class FakeOrders : public TargetCommands
{
public:
    FakeOrders(FakeFleet &fleet, EventQueue &queue)
        : m_fleet(fleet)
        , m_queue(queue)
    {
    }

    void start(const StartCommand &order) override;
    void stop(const StopCommand &order) override;
    void inspect(const InspectCommand &order) override;

    Dispatcher *dispatcher = nullptr;
    bool frozen = false; ///< Answers wait until thaw().
    bool cutOff = false; ///< Nothing reaches targets, nothing comes back.
    /// Delivers what waited.
    void thaw();

private:
    /// Carries an order out as the network pleases.
    void carry(const std::function<CommandResult(FakeTarget &)> &order,
               const TargetName &target,
               Duration answerTimeout,
               std::function<void(const CommandResult &)> answer);
    void waitForEnd(const InspectCommand &order,
                    const std::shared_ptr<TargetReport> &report,
                    Instant until,
                    const std::function<void(const CommandResult &)> &answer);
    void deliver(std::function<void()> event);
    FakeTarget *find(const TargetName &name);

    FakeFleet &m_fleet;
    EventQueue &m_queue;
    std::vector<std::function<void()>> m_waiting;
};

} // namespace Eelgrasscleat
