/// @file
/// Base of the observers in tests that only need the results of jobs.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>

namespace Eelgrasscleat
{

/// Ignores all decisions of a dispatcher but the results of jobs.
class JobEndObserver : public DispatcherObserver
{
public:
    void jobTooLate(const JobId &, const LatenessEstimate &) override
    {
    }
    void runDecided(std::string_view, const RunName &, const TargetName &, double) override
    {
    }
    void tokenFenced(FencingToken, const TargetName &) override
    {
    }
    void targetCrashed(const TargetCrash &) override
    {
    }
    void crashForgotten(const TargetLife &) override
    {
    }
    void targetChanged(std::string_view, const TargetName &, std::uint64_t) override
    {
    }
};

} // namespace Eelgrasscleat
