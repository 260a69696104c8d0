/// @file
/// Divides the tasks of a job among dispatchers when no single one has places for all of them, so that the job doesn't
/// wait at one while targets of another are free. Contains no clock, thread or socket.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>

#include <cstdint>
#include <vector>

namespace Eelgrasscleat
{

/// Limits of the division. It answers loads under which single dispatchers run out of places for some seconds, or for
/// wide jobs, while the fleet has some left.
struct DivisionPolicy
{
    /// A job is divided only if its last task is expected to start earlier by more than this.
    double minGainMs = 50;
    /// Cost of taking all places of a dispatcher, in proportion to the share taken: reports are old by some statuses,
    /// and other homes send tasks there, too. It spreads tasks, by more than the price of a way to another zone once a
    /// dispatcher is half full.
    double fullPlacesCostMs = 50;
    /// Maximum number of parts.
    std::size_t maxParts = 4;
};

/// A dispatcher that may take tasks of a job, as far as the job's home instance knows.
struct DivisionCandidate
{
    InstanceName name;
    double delayMs = 0; ///< Until a task that finds a place starts: the way there, and the price of it.
    double waitMs = 0; ///< Until the work queued there is placed, without the tasks of this job.
    double places = 0; ///< Tasks of the job that find a place at once; negative if more tasks are on their way there.
    double msPerTask = 0; ///< Further wait for each task that finds none, as one target after another gets free.
};

/// A dispatcher's share of the tasks.
struct TaskShare
{
    InstanceName name;
    std::uint32_t tasks = 0;
    bool operator==(const TaskShare &) const = default;
};

/// @returns the time in milliseconds until the last of @p tasks starts at a dispatcher.
double lastStartMs(const DivisionCandidate &candidate, std::uint32_t tasks);

/// @param candidates dispatchers that can run the tasks; the first of equally good ones is preferred
/// @returns the shares, at least one task each; a single share if a division gains too little; none if there is no
/// candidate.
std::vector<TaskShare>
divideTasks(std::uint32_t tasks, const std::vector<DivisionCandidate> &candidates, const DivisionPolicy &policy);

} // namespace Eelgrasscleat
