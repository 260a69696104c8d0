/// @file
/// Decision logic of one entry instance: configuration, membership, submissions, limits and placement. It consumes one
/// event at a time and returns actions. It has no socket, thread, clock or random seed of its own, so that a test or an
/// embedder can drive it with simulated time and injected faults.
#pragma once

#include <eelgrasscleat/Entry/CoreEvents.h>
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Time.h>

#include <settings.pb.h>
#include <status.pb.h>

#include <cstdint>
#include <memory>
#include <string_view>

namespace Eelgrasscleat
{

/// Receives notifications of countable events, for metrics. All methods run on the thread that drives EntryCore.
class CoreObserver
{
public:
    virtual ~CoreObserver() = default;
    /// A caller was answered.
    /// @param reason FAILURE_REASON_NONE for a complete or pending answer
    virtual void callerAnswered(schema::FailureReason reason) = 0;
    /// A task was started on a target.
    virtual void taskStarted() = 0;
    /// An attempt ended.
    virtual void attemptEnded(AttemptOutcome outcome) = 0;
    /// A retry was allowed or denied.
    virtual void retryDecided(RetryDecision decision) = 0;
    /// A submission was forwarded to its home instance.
    virtual void submissionForwarded() = 0;
    /// A new version of the configuration was applied.
    virtual void configApplied(std::uint64_t version) = 0;
    /// A call of the platform failed: it was unreachable or refused the call.
    virtual void platformCallFailed(const Error &error) = 0;
};

/// Event-driven decision logic of one entry instance. Not thread-safe.
class EntryCore
{
public:
    /// @param settings validated settings of this instance
    /// @param self incarnation of this process, generated at its start
    /// @param seed seed of all random choices
    /// @param observer notified of countable events; outlives this object
    EntryCore(const schema::EntrySettings &settings,
              IncarnationId self,
              std::uint64_t seed,
              CoreObserver &observer,
              Instant startedAt);
    ~EntryCore();
    EntryCore(const EntryCore &) = delete;
    EntryCore &operator=(const EntryCore &) = delete;

    /// Handles one event. Call startQueuedTasks() after a batch of events.
    void handle(const CoreEvent &event, const ClockReading &clock, CoreActions &out);
    /// Starts the queued tasks for which a permit and a target are available.
    void startQueuedTasks(const ClockReading &clock, CoreActions &out);
    /// Performs time-driven work: timeouts, periodic reads, heartbeats. Call it every few milliseconds.
    void tick(const ClockReading &clock, CoreActions &out);
    /// Begins a planned stop: new work is refused after a grace period; accepted work runs to completion.
    void beginStop(const ClockReading &clock, CoreActions &out);

    /// @returns whether a planned stop is complete: all accepted work is answered, and permits and kept answers are
    /// handed over.
    [[nodiscard]] bool isStopped() const;
    /// @returns whether this instance accepts requests from callers.
    [[nodiscard]] bool isReady(const ClockReading &clock) const;
    /// @returns the status report for operators.
    [[nodiscard]] schema::EntryStatus status(const ClockReading &clock) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Eelgrasscleat
