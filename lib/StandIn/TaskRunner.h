/// @file
/// The target's decisions without sockets and clocks: what becomes of a start, and when it is answered.
#pragma once

#include <eelgrasscleat/Support/Random.h>
#include <eelgrasscleat/Support/Schema.h>

#include <settings.pb.h>
#include <standin.pb.h>
#include <target.pb.h>

#include <chrono>

namespace Eelgrasscleat
{

/// What becomes of one start.
struct StartPlan
{
    schema::StartDisposition disposition = schema::START_DISPOSITION_UNSPECIFIED;
    std::chrono::milliseconds answerAfter { 0 };
    schema::StartAnswer answer; ///< For RUN and REFUSED.
};

/// Slots, run times and faults of a target.
class TaskRunner
{
public:
    explicit TaskRunner(const schema::TargetStandInSettings &settings);

    /// Decides on a start. One that is run holds a slot until release().
    [[nodiscard]] StartPlan plan(const schema::StartRequest &request);
    /// Frees the slot of a task that has ended.
    void release();
    /// Replaces the faults.
    void setFaults(const schema::TargetFaults &faults);
    [[nodiscard]] const schema::TargetFaults &faults() const;

private:
    std::chrono::milliseconds runTime(const std::string &payload);

    schema::TargetStandInSettings m_settings;
    schema::TargetFaults m_faults;
    RandomSource m_random;
    std::size_t m_busySlots = 0;
};

} // namespace Eelgrasscleat
