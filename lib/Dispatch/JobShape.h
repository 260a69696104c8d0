/// @file
/// What the routing of a job depends on: the number of its tasks, and whether they may be divided.
#pragma once

#include <eelgrasscleat/Dispatch/JobTypes.h>

namespace Eelgrasscleat
{

/// @returns the number of tasks of all steps.
inline std::uint32_t totalTasks(const JobRequest &request)
{
    std::uint32_t tasks = 0;
    for (const JobStep &it : request.steps) {
        tasks += it.tasks;
    }
    return tasks;
}

/// Steps that wait for each other and a limit of tasks per target hold for the whole job. Places are counted by cores,
/// so they don't tell where tasks with other needs can run.
inline bool isDivisible(const JobRequest &request)
{
    const JobStep &step = request.steps.front();
    return request.steps.size() == 1 && step.perTargetLimit == 0 && step.requiredLabel.empty()
        && step.demand.accelerators == 0;
}

} // namespace Eelgrasscleat
