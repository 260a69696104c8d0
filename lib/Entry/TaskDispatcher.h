/// @file
/// Starts queued tasks: combines queue, permits and placement, and tracks the attempts in flight. Performs no I/O; time
/// and randomness are passed in.
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

/// Components that the dispatcher uses; all outlive it.
struct DispatcherContext
{
    SubmissionTable &submissions;
    TaskQueue &queue;
    PermitLedger &ledger;
    Placer &placer;
    const ConfigState &config;
    RandomSource &random;
};

/// Facts that other components learn from the end of an attempt.
struct AttemptReport
{
    std::optional<RetryDecision> retry;
    std::optional<TargetName> leavingTarget; ///< Target that refused because it is leaving.
    std::optional<TargetName> ranOn; ///< Target that ran the task.
    Instant startedAt;
};

/// Starts queued tasks on targets and handles the outcomes of their attempts.
class TaskDispatcher
{
public:
    /// @param maxInFlight maximum number of attempts in flight; it ensures that their outcomes fit the ring to this
    /// thread
    /// @param instancesInZone number of entry instances that share each target's connections
    /// @param longestRun upper bound of a contract's maximum run time
    TaskDispatcher(const DispatcherContext &context,
                   std::size_t maxInFlight,
                   std::uint32_t instancesInZone,
                   std::chrono::milliseconds longestRun);

    /// Queues tasks of a submission. If the queue has no room, a new submission is refused as a whole; tasks that are
    /// queued again are always accepted.
    void enqueue(const EnqueueTasks &tasks, const ClockReading &clock, ExecutionActions &out);
    /// Removes the queued tasks of a submission.
    void removeTasks(SubmissionId submission);
    /// Handles the outcome of an attempt. Unknown attempts are ignored.
    AttemptReport attemptEnded(const AttemptEnded &event, const ClockReading &clock, ExecutionActions &out);
    /// Starts the queued tasks for which a permit and a target are available.
    void startQueuedTasks(const ClockReading &clock, ExecutionActions &execution, CoreActions &out);
    /// Fails queued tasks whose deadline has passed, and reports the number of queued tasks by customer to the ledger.
    void tick(const ClockReading &clock, ExecutionActions &out);

    /// @returns the number of attempts in flight.
    [[nodiscard]] std::size_t inFlight() const;
    /// @returns the number of attempts started since construction.
    [[nodiscard]] std::uint64_t startCount() const;

private:
    /// An attempt in flight: handed to a target thread, outcome not known yet.
    struct Attempt
    {
        Permit permit;
        Placement placement;
        PlacementRequest request;
        Instant startedAt;
    };

    class StartGate;

    [[nodiscard]] bool canEverRun(const schema::Submission &submission, const schema::Contract &contract) const;
    bool startTask(const QueuedTask &task, const ClockReading &clock, ExecutionActions &execution, CoreActions &out);
    [[nodiscard]] StartOnTarget makeStart(AttemptId attempt,
                                          const QueuedTask &task,
                                          const schema::Submission &submission,
                                          const schema::Contract &contract,
                                          const Attempt &inFlight) const;

    DispatcherContext m_context;
    std::size_t m_maxInFlight;
    std::uint32_t m_instancesInZone;
    std::chrono::milliseconds m_longestRun;
    std::unordered_map<AttemptId, Attempt> m_attempts;
    std::set<CustomerName> m_blockedCustomers; ///< Customers whose tasks can't start in this startQueuedTasks().
    std::set<CustomerName> m_reportedCustomers; ///< Customers whose number of queued tasks the ledger knows.
    std::uint64_t m_startCount = 0;
};

} // namespace Eelgrasscleat
