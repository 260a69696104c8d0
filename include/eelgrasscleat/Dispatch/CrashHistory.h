/// @file
/// Attributes crashes of targets to the tasks that were at work on them, and decides whether such a task may start
/// again. Answers the load of tasks that crash each target they run on. Contains no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Dispatch/JobTypes.h>
#include <eelgrasscleat/Dispatch/TargetCommands.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// One life of a target. A crash ends it.
struct TargetLife
{
    TargetName name;
    std::uint64_t incarnation = 0; ///< 0 if unknown.
    auto operator<=>(const TargetLife &) const = default;
    bool operator==(const TargetLife &) const = default;
};

/// A task that was at work on a target when the target was lost.
struct CrashSuspect
{
    TaskName task;
    /// Was among the tasks started last, which are the most likely cause: they had not proven harmless yet.
    bool startedLast = false;
    /// Besides, the target had confirmed the start, and then closed its connections. Otherwise the target may have been
    /// lost before the start, or may have been cut off first and crashed later.
    bool isLikely = false;
    bool operator==(const CrashSuspect &) const = default;
};

/// A crash of a target, and the tasks that were at work on it.
struct TargetCrash
{
    TargetLife target;
    std::vector<CrashSuspect> suspects;
    bool commonCause = false; ///< Other targets were lost with it: the crash isn't attributed to tasks.
    bool operator==(const TargetCrash &) const = default;
};

/// Thresholds of a crash history.
struct CrashPolicy
{
    /// A task is given up after this many crashes of which it is the likely cause.
    std::uint32_t maxLikelyCrashes = 2;
    /// A task is given up after this many crashes in any case.
    std::uint32_t maxCrashes = 3;
    /// A task isn't started again after it has lost its target this often, whatever the causes.
    std::uint32_t maxLosses = 4;
    /// A lost target that is neither back nor replaced after this time counts as lost for another cause, such as a
    /// network partition.
    Duration resolveTime = std::chrono::seconds(5);
    /// Once a task has lost two targets right after its start, all tasks that were started last on a lost target wait
    /// for the cause. This ends when no target has crashed for this long. Limits the damage of many crashing tasks,
    /// each of which would cost a second target.
    Duration cautionTime = std::chrono::seconds(30);
    /// Losses are kept for this long, so that a resubmission of the job meets them.
    Duration retention = std::chrono::seconds(120);
    /// Runs started within this time of the latest one count as started last, too: starts sent together may arrive in
    /// any order.
    Duration startOrderTolerance = std::chrono::milliseconds(100);
    /// So many targets of one rack, and half of those with runs, have a common cause if they may have been lost at the
    /// same time, such as a power failure; unless half of them ran tasks of one job.
    std::size_t commonCauseRackTargets = 3;
    /// The same for so many targets of any racks.
    std::size_t commonCauseTargets = 6;
    /// Maximum number of remembered losses; bounds memory.
    std::size_t maxRemembered = 4096;
};

/// Whether and how a task may start.
enum class StartAdvice
{
    Start,
    Isolate, ///< May crash its target: to be started apart from other tasks.
    Wait, ///< Not before it is known why its targets were lost.
    GiveUp, ///< The task crashes its targets.
};

class CrashHistory
{
public:
    /// A run that was at work on a lost target.
    struct RunAtWork
    {
        TaskName task;
        Instant startedAt;
        bool isConfirmed = false; ///< The target has confirmed the start.
    };

    explicit CrashHistory(const CrashPolicy &policy = {});

    /// What is known about a target that was lost.
    struct LostTarget
    {
        TargetLife life;
        std::string address;
        std::string rack;
        std::size_t busyRackTargets = 0; ///< Targets of the rack that had runs, this one included.
        Instant lastAnsweredAt; ///< It was lost between then and now.
        bool closedConnections = false; ///< It did, rather than answer nothing.
        std::vector<RunAtWork> runs; ///< That may have been at work on it.
    };

    /// A target no longer answers.
    void targetLost(const LostTarget &target, Instant now);
    /// A lost target answers again.
    /// @param incarnation its present life
    /// @returns the crash, if that is another life than the lost one.
    std::optional<TargetCrash> targetAnswered(const TargetName &target, std::uint64_t incarnation, Instant now);
    /// The list of targets has an entry. A later life at the address of a lost target shows that the target has
    /// crashed.
    /// @returns the crash, if it has just become known.
    std::optional<TargetCrash> targetListed(const DispatchTarget &target, Instant now);
    /// Another life of the target answers at its address.
    /// @returns the crash, if it has just become known.
    std::optional<TargetCrash> targetReplaced(const TargetName &target, Instant now);
    /// Another instance has attributed a crash, or this one in an earlier life.
    /// @returns whether the crash was not known.
    bool learn(const TargetCrash &crash, Instant now);
    /// Another instance has removed a published crash.
    void forget(const TargetLife &target);

    /// @returns whether no task has been at work on a lost target.
    [[nodiscard]] bool isEmpty() const
    {
        return m_byTask.empty();
    }
    [[nodiscard]] StartAdvice advice(const TaskName &task, Instant now) const;
    /// @returns the number of crashes attributed to the task.
    [[nodiscard]] std::uint32_t crashes(const TaskName &task) const;
    /// Forgets losses after their retention, and learned crashes after twice that: whoever has published a crash
    /// removes it first.
    /// @returns the targets of forgotten crashes, which need no longer be published.
    std::vector<TargetLife> advance(Instant now);

private:
    enum class Cause
    {
        Unknown,
        Crash,
        Other,
    };

    struct Loss
    {
        std::string address; ///< Empty if another instance has recorded it.
        std::string rack;
        std::size_t busyRackTargets = 0;
        Instant lastAnsweredAt {};
        Instant lostAt {};
        Instant recordedAt {};
        Cause cause = Cause::Unknown;
        std::vector<CrashSuspect> suspects;
    };

    using Losses = std::map<TargetLife, Loss>;

    std::optional<TargetCrash> confirmCrash(const TargetLife &life, Loss &loss, Instant now);
    [[nodiscard]] bool hasCommonCause(const Loss &loss) const;
    [[nodiscard]] bool hasLostAnother(const TaskName &task, const TargetLife &life) const;
    void add(const TargetLife &life, Loss loss);
    Losses::iterator remove(Losses::iterator it);
    Losses::iterator findOpen(const TargetName &target);

    CrashPolicy m_policy;
    Losses m_losses;
    std::vector<TargetLife> m_forgotten; ///< Crashes forgotten since the last advance().
    Instant m_cautiousUntil {};
    std::map<TaskName, std::vector<TargetLife>> m_byTask;
};

} // namespace Eelgrasscleat
