/// @file
/// Starts queued tasks: joins the queue, the permits and the placement, and keeps the attempts in flight. Pure:
/// events, time and randomness in, actions out.
#pragma once

#include <eelgrasscleat/Admission/PermitLedger.h>
#include <eelgrasscleat/Admission/TaskQueue.h>
#include <eelgrasscleat/Contract/ConfigState.h>
#include <eelgrasscleat/Entry/CoreEvents.h>
#include <eelgrasscleat/Execution/SubmissionTable.h>
#include <eelgrasscleat/Placement/Placer.h>
#include <eelgrasscleat/Support/Random.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Eelgrasscleat
{

/// What the dispatcher works with; all outlive it.
struct DispatcherParts
{
    SubmissionTable &submissions;
    TaskQueue &queue;
    PermitLedger &ledger;
    Placer &placer;
    const ConfigState &config;
    RandomSource &random;
};

/// What the end of an attempt tells others.
struct AttemptReport
{
    std::optional<RetryDecision> retry;
    std::optional<TargetName> leaving; ///< The target refused because it is leaving.
    std::optional<TargetName> ran; ///< The target ran the task.
    Instant startedAt;
};

/// The dispatcher.
class TaskDispatcher
{
public:
    /// @param maxInFlight most attempts at once, so that their outcomes always fit the ring to this thread
    /// @param instancesInZone entry instances that share each target's connections
    /// @param longestRun that contracts are held to
    TaskDispatcher(const DispatcherParts &parts,
                   std::size_t maxInFlight,
                   std::uint32_t instancesInZone,
                   std::chrono::milliseconds longestRun);

    /// Queues tasks of a submission. A fresh submission is refused as a whole when the queue is full.
    void enqueue(const EnqueueTasks &tasks, const ClockReading &clock, ExecutionActions &out);
    /// Drops a submission's queued tasks.
    void withdraw(SubmissionId submission);
    /// An attempt ended; the end of an unknown one is ignored.
    AttemptReport attemptEnded(const AttemptEnded &event, const ClockReading &clock, ExecutionActions &out);
    /// Starts what can start now.
    void startQueuedTasks(const ClockReading &clock, ExecutionActions &execution, CoreActions &out);
    /// Gives up queued tasks whose deadline passed, and tells the ledger what waits.
    void tick(const ClockReading &clock, ExecutionActions &out);

    /// @returns the attempts in flight.
    [[nodiscard]] std::size_t inFlight() const;
    /// @returns the attempts started so far.
    [[nodiscard]] std::uint64_t starts() const;

private:
    /// An attempt that was handed to the target thread.
    struct Attempt
    {
        Permit permit;
        Placement placement;
        PlacementRequest request;
        Instant startedAt;
    };

    class OpenGate;

    [[nodiscard]] bool canEverRun(const schema::Submission &submission, const schema::Contract &contract) const;
    bool startOne(const QueuedTask &task, const ClockReading &clock, ExecutionActions &execution, CoreActions &out);
    [[nodiscard]] StartOnTarget startAction(AttemptId attempt,
                                            const QueuedTask &task,
                                            const schema::Submission &submission,
                                            const schema::Contract &contract,
                                            const Attempt &inFlight) const;

    DispatcherParts m_parts;
    std::size_t m_maxInFlight;
    std::uint32_t m_instancesInZone;
    std::chrono::milliseconds m_longestRun;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::set<CustomerName> m_blocked; ///< Customers without a target in the present startQueuedTasks.
    std::set<CustomerName> m_told; ///< Customers whose waiting number the ledger holds.
    std::uint64_t m_starts = 0;
};

} // namespace Eelgrasscleat
