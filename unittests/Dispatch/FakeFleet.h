/// @file
/// Simulated targets with the leases, fencing and run numbers of the platform's targets, behind a network that loses,
/// delays and reorders commands. Violated invariants are recorded.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Support/Random.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Event queue with simulated time.
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

/// Faults of the network between dispatchers and targets.
struct NetworkFaults
{
    double lostCommands = 0; ///< Share of commands that are never executed nor answered.
    double lostResponses = 0; ///< Share of commands that are executed but not answered.
    double delayedCommands = 0; ///< Share of commands that are not answered, and executed 2 to 12 s later.
    double delayedOrders = 0; ///< The same for starts and stops alone, if larger.
};

/// The link of the dispatcher's instance, which all commands and responses share.
class FakeLink
{
public:
    /// @returns how long a message of @p bytes takes to pass, after those sent before it.
    Duration transmit(double bytes, Instant now);
    /// @returns how much of the link's time has been used, from 0 to 1, since @p since.
    [[nodiscard]] double utilization(Instant since, Instant now) const;

    double bytesPerSecond = 0; ///< 0: unlimited.

private:
    Instant m_freeAt {};
    Duration m_busy {};
};

/// A simulated target.
class FakeTarget
{
public:
    FakeTarget(DispatchTarget description, double slowness, double clockRate);

    CommandResult start(const StartCommand &command, Duration work, Instant now);
    CommandResult stop(FencingToken token, const RunName &run, Instant now);
    CommandResult inspect(const InspectCommand &command, TargetReport &report, Instant now);
    /// Ends runs that are done or whose lease has expired.
    void advance(Instant now);
    /// Changes the time that tasks started from now on take.
    void slowDown(double factor)
    {
        m_slowness *= factor;
    }
    /// Starts a new incarnation without any state of the previous one.
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
    Instant darkUntil {}; ///< Answers nothing before.
    bool isCutOff = false; ///< Answers nothing; runs go on.

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
    std::map<TaskName, std::uint32_t> m_highestEndedRun;
    std::map<RunName, Instant> m_runStarts;
};

/// Which targets a fleet has; kinds follow each other by turns.
struct FleetShape
{
    std::vector<double> slowness { 1.6, 1.0, 0.6 };
    std::vector<std::uint32_t> milliCores { 32000 };
    std::size_t targetsPerRack = 4;
};

/// What happens to a target that crashes.
struct CrashShape
{
    Duration downTime = std::chrono::milliseconds(3300);
    bool changesName = false; ///< The target returns under another name at the same address.
    bool closesConnections = true; ///< Otherwise nothing is answered while the target is down.
    /// From the start of a task that crashes the target; zero: the start isn't answered.
    Duration delay = std::chrono::milliseconds(5);
};

/// The simulated targets and the network in front of them.
class FakeFleet
{
public:
    FakeFleet(EventQueue &queue, std::uint64_t seed);

    void addTargets(std::size_t count, const FleetShape &shape = {});
    /// Registers a submitted task; starting an unregistered one is a violation.
    void registerTask(const TaskName &task, const ResourceDemand &demand, Duration work);
    /// Makes a registered task crash each target that starts it.
    void makeCrashing(const TaskName &task)
    {
        m_tasks.at(task).crashes = true;
    }
    /// Ends all runs of a target without a trace; it is silent for a while.
    void crash(FakeTarget &target);
    /// @returns the number of targets that the task has crashed.
    [[nodiscard]] std::uint32_t crashes(const TaskName &task) const
    {
        const auto it = m_tasks.find(task);
        return it == m_tasks.end() ? 0 : it->second.crashedTargets;
    }
    /// @returns descriptions of the violated invariants.
    [[nodiscard]] const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    [[nodiscard]] bool hasStarted(const JobId &job) const
    {
        return m_startedJobs.count(job) > 0;
    }
    /// Checks the invariants that must hold at any time.
    void check();

    std::vector<FakeTarget> targets;
    NetworkFaults faults;
    FakeLink link;
    RandomSource random;
    CrashShape crashShape;
    /// Called when a crashed target is back.
    std::function<void(const TargetName &before, const DispatchTarget &target)> onReturned;

private:
    friend class FakeTargetCommands;
    struct Task
    {
        ResourceDemand demand;
        Duration work;
        bool crashes = false;
        std::uint32_t crashedTargets = 0;
        std::uint32_t startsAfterThreeCrashes = 0;
    };

    void recordStart(Task &task, const RunName &run, FakeTarget &target);

    EventQueue &m_queue;
    std::map<TaskName, Task> m_tasks;
    std::set<JobId> m_startedJobs;
    std::vector<std::string> m_violations;
};

/// Sends the commands of one owner through the simulated network.
class FakeTargetCommands : public TargetCommands
{
public:
    FakeTargetCommands(FakeFleet &fleet, EventQueue &queue)
        : m_fleet(fleet)
        , m_queue(queue)
    {
    }

    void start(const StartCommand &command) override;
    void stop(const StopCommand &command) override;
    void inspect(const InspectCommand &command) override;

    Dispatcher *dispatcher = nullptr;
    bool frozen = false; ///< Results are held back until unfreeze().
    bool isolated = false; ///< No command reaches a target.
    /// Delivers the results held back.
    void unfreeze();

private:
    /// Sends a command to a target, subject to the network faults.
    void transmit(const std::function<CommandResult(FakeTarget &)> &command,
                  const TargetAddress &target,
                  double bytes,
                  double delayedShare,
                  Duration responseTimeout,
                  std::function<void(const CommandResult &)> respond);
    void waitForEnd(const InspectCommand &command,
                    const std::shared_ptr<TargetReport> &report,
                    Instant until,
                    const std::function<void(const CommandResult &)> &respond);
    void deliver(std::function<void()> event);
    /// @returns the share of starts and stops that are delayed.
    [[nodiscard]] double delayedOrders() const;
    /// @returns what a command to a crashed target gets; nothing if it times out.
    [[nodiscard]] std::optional<CommandResult> answerOfCrashed() const;
    FakeTarget *find(const TargetName &name);
    FakeTarget *findByAddress(const std::string &address);

    FakeFleet &m_fleet;
    EventQueue &m_queue;
    std::vector<std::function<void()>> m_held;
};

} // namespace Eelgrasscleat
