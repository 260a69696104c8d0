/// @file
/// Several EntryCores with a simulated log and simulated targets. Time advances only when the test says so.
#pragma once

#include <eelgrasscleat/Entry/EntryCore.h>

#include <contract.pb.h>

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// A start that an instance requested.
struct RecordedStart
{
    std::size_t instance = 0;
    StartOnTarget start;
};

/// Records retry decisions and ignores all other notifications, since the tests inspect actions.
class RecordingObserver : public CoreObserver
{
public:
    void callerAnswered(schema::FailureReason) override
    {
    }
    void taskStarted() override
    {
    }
    void attemptEnded(AttemptOutcome) override
    {
    }
    void retryDecided(RetryDecision decision) override
    {
        retries.push_back(decision);
    }
    void submissionForwarded() override
    {
    }
    void configApplied(std::uint64_t) override
    {
    }
    void platformCallFailed(const Error &) override
    {
    }

    std::vector<RetryDecision> retries;
};

/// Simulated deployment. Instances are indexed from 0; all are in zone "z1".
class CoreHarness
{
public:
    /// @param instances number of entry instances
    explicit CoreHarness(std::size_t instances);

    /// Appends a configuration change: a contract of "prairie" with in-flight limit @p limit, and targets "t1" to "tN"
    /// with 8 slots each.
    void publishConfig(std::uint32_t limit, int targets);
    /// Advances the simulated time in steps of 10 ms; messages and reads are delivered within each step.
    void advanceTime(Duration time);
    /// Advances time until all instances are ready with the published configuration and hold their names.
    void waitUntilReady();

    /// Submits to an instance.
    /// @returns the id of the caller.
    CallerId submit(std::size_t instance, const schema::Submission &submission);
    /// Reports the outcome of an attempt.
    void endAttempt(const RecordedStart &started, AttemptOutcome outcome, const std::string &output = "out");
    /// Begins a planned stop of an instance.
    void beginStop(std::size_t instance);
    /// Replaces an instance by a new incarnation of the same name; the old one vanishes without a planned stop.
    void replaceInstance(std::size_t instance);

    /// @returns the answer to a caller, if any.
    [[nodiscard]] std::optional<schema::SubmissionAnswer> answer(CallerId caller) const;
    /// @returns the ticket of an instance's current incarnation.
    [[nodiscard]] std::string ticket(std::size_t instance) const;
    [[nodiscard]] schema::EntryStatus status(std::size_t instance) const;
    [[nodiscard]] bool isStopped(std::size_t instance) const;
    [[nodiscard]] schema::Submission makeJob(const std::string &key, int tasks, const std::string &ticket = "") const;

    std::vector<RecordedStart> starts; ///< All starts so far.
    RecordingObserver observer;
    bool isPlatformUp = true; ///< If false, reads and appends fail as unavailable.
    bool loseAppendAnswers = false; ///< If true, appends take effect but their answers time out.
    std::set<std::string> leavingTargets; ///< Targets that the instance list shows as leaving.
    std::size_t claimAppends = 0;

private:
    struct Instance
    {
        schema::EntrySettings settings;
        std::uint64_t incarnation = 0;
        std::unique_ptr<EntryCore> core;
    };

    [[nodiscard]] ClockReading clock() const;
    void startCore(Instance &instance);
    void executeActions(std::size_t instance, CoreActions &actions);
    void execute(std::size_t instance, CoreAction &action);
    void deliver();
    void handle(std::size_t instance, const CoreEvent &event);
    Result<std::uint64_t> append(LogStream stream, const std::string &record);
    [[nodiscard]] Result<schema::RecordPage> read(LogStream stream, std::uint64_t from) const;

    std::vector<Instance> m_instances;
    std::map<LogStream, std::vector<std::string>> m_log;
    std::deque<std::pair<std::size_t, CoreEvent>> m_events;
    std::map<CallerId, schema::SubmissionAnswer> m_answers;
    std::uint64_t m_lastCaller = 0;
    std::uint64_t m_lastIncarnation = 0;
    Instant m_now { std::chrono::hours(1) };
    WallTime m_wallTime { std::chrono::hours(400000) };
};

} // namespace Eelgrasscleat
