/// @file
/// Time types of the decision parts. They never read a clock: the caller passes the time in.
#pragma once

#include <chrono>

namespace Eelgrasscleat
{

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Point on a process's monotonic clock. Not comparable between processes.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Point on the wall clock, in milliseconds. Only for ages of submissions and for the history.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Both clocks at one moment, as a daemon passes them to the decision parts.
struct ClockReading
{
    Instant now;
    WallTime wall;
};

} // namespace Eelgrasscleat
