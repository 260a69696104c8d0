/// @file
/// Target selection: the interface of a placement policy and the default policy. Implementations read no clock and own
/// no thread, socket or random number generator; time and randomness are passed as arguments.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Random.h>
#include <eelgrasscleat/Support/Time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Resources that a task requires or a target provides.
struct Requirements
{
    std::uint32_t accelerators = 0;
    std::uint32_t cores = 0;
    std::uint32_t memoryMb = 0;
    bool operator==(const Requirements &) const = default;
};

/// Configuration of a target.
struct TargetInfo
{
    TargetName name;
    ServiceName service;
    ZoneName zone;
    std::string rack;
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    Requirements capacity;
};

/// A task for which a target is to be chosen.
struct PlacementRequest
{
    ServiceName service;
    CustomerName customer;
    Requirements requirements;
    Duration expectedRun {}; ///< Run time hint of the caller; 0 if unknown.
    bool urgent = false;
    std::uint32_t remainingTasks = 1; ///< Unfinished tasks of the same job, including this one.
    std::uint32_t jobTaskCount = 1;
    /// Number of tasks of the service queued behind this one on this instance. If unknown, the placer never leaves a
    /// free slot unused to wait for a faster target.
    std::uint32_t queued = kUnknownQueueLength;

    static constexpr std::uint32_t kUnknownQueueLength = 0xffffffffU;
};

/// Outcome of an attempt to run a task on a target.
enum class PlacementOutcome
{
    Done,
    Failed, ///< The target reported a failure.
    Refused, ///< Not run: the target had no free slot.
    Leaving, ///< Not run: the target is shutting down.
    Unreachable, ///< Not run: there was no connection to the target.
    Lost, ///< The connection was lost or the attempt timed out after the start was sent.
};

/// Position of this instance among those that share the targets of a zone.
struct SlotShare
{
    std::uint32_t instances = 1; ///< Number of entry instances that place tasks on the same targets.
    std::uint32_t index = 0; ///< Index of this instance among them.
};

/// A chosen target.
struct Placement
{
    TargetName target;
    bool probe = false; ///< The task probes an ejected target.
    /// Set by choose(). Matches attemptStarted() with attemptEnded(), so that a repeated end is ignored.
    std::uint64_t attemptId = 0;
};

/// Interface of a placement policy.
class Placer
{
public:
    virtual ~Placer() = default;

    /// Adds a target or updates its configuration.
    virtual void setTarget(const TargetInfo &target, Instant now) = 0;
    /// Removes a target. Attempts in flight may still end later.
    virtual void removeTarget(const TargetName &target) = 0;
    /// Sets whether a target is leaving. A leaving target receives no new tasks.
    virtual void setLeaving(const TargetName &target, bool leaving, Instant now) = 0;
    /// Sets how many instances share the targets.
    virtual void setSlotShare(SlotShare share) = 0;

    /// @returns whether any known target, leaving or not, satisfies the task's requirements.
    [[nodiscard]] virtual bool canEverRun(const PlacementRequest &request) const = 0;
    /// Chooses a target. The choice reserves no slot: it must be confirmed by attemptStarted() before the next call, or
    /// is discarded.
    /// @returns the placement, or std::nullopt if the task should wait. The caller should retry after each ended
    /// attempt and every few milliseconds, since backoffs and ejections expire.
    virtual std::optional<Placement> choose(const PlacementRequest &request, Instant now, RandomSource &random) = 0;
    /// Records that a start is being sent to the chosen target.
    virtual void attemptStarted(const Placement &placement, Instant now) = 0;
    /// Records the outcome of an attempt.
    /// @param run time between sending the start and the end of the attempt
    virtual void attemptEnded(const Placement &placement,
                              const PlacementRequest &request,
                              PlacementOutcome outcome,
                              Duration run,
                              Instant now) = 0;
};

/// Settings of the default policy.
struct AdaptivePlacerSettings
{
    double messageWeight = 0.5; ///< From 0 (minimize response time only) to 1 (minimize wasted messages only).
};

/// @returns the default policy, which combines learned target speeds, passive health checks and slot shares.
std::unique_ptr<Placer> makeAdaptivePlacer(const AdaptivePlacerSettings &settings);

} // namespace Eelgrasscleat
