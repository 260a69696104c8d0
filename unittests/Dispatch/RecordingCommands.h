/// @file
/// Commands and results of a dispatcher, recorded for step-by-step tests.
#pragma once

#include "JobEndObserver.h"

#include <vector>

namespace Eelgrasscleat
{

/// Records commands; the test supplies their results.
class RecordingCommands : public TargetCommands
{
public:
    void start(const StartCommand &command) override
    {
        starts.push_back(command);
    }
    void stop(const StopCommand &command) override
    {
        stops.push_back(command);
    }
    void inspect(const InspectCommand &command) override
    {
        inspections.push_back(command);
    }

    std::vector<StartCommand> starts;
    std::vector<StopCommand> stops;
    std::vector<InspectCommand> inspections;
};

/// Records the results of jobs.
class RecordingObserver : public JobEndObserver
{
public:
    void jobEnded(const InstanceName &, const JobEnd &end) override
    {
        ends.push_back(end);
    }

    std::vector<JobEnd> ends;
};

} // namespace Eelgrasscleat
