/// @file
/// A few EntryCores with a fake log and fake targets, driven step by step. Time moves only when the test says so.
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

/// A start that an instance sent.
struct SeenStart
{
    std::size_t instance = 0;
    StartOnTarget start;
};

/// Counts nothing; the tests look at actions.
class SilentObserver : public CoreObserver
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

/// The harness. Instances are numbered from 0; all are in zone "z1".
class CoreHarness
{
public:
    /// @param instances how many entry instances
    explicit CoreHarness(std::size_t instances);

    /// Appends a change to the configuration: contract "prairie" and targets "t1" to "tN" of 8 slots.
    void publish(std::uint32_t limit, int targets);
    /// Moves time on in steps of 10 ms; messages and reads are delivered within each step.
    void run(Duration time);
    /// Runs until all instances are ready with the published configuration and hold their names.
    void settle();

    /// A caller submits to an instance. @returns the caller's number.
    CallerId submit(std::size_t instance, const schema::Submission &submission);
    /// Ends an attempt.
    void end(const SeenStart &seen, AttemptOutcome outcome, const std::string &output = "out");
    /// Begins a planned stop of an instance.
    void stop(std::size_t instance);
    /// Replaces an instance by a new incarnation under the same name; the old one is gone at once.
    void replace(std::size_t instance);

    /// @returns the answer that a caller got, if any.
    [[nodiscard]] std::optional<schema::SubmissionAnswer> answer(CallerId caller) const;
    /// @returns the ticket of an instance's present incarnation.
    [[nodiscard]] std::string ticket(std::size_t instance) const;
    [[nodiscard]] schema::EntryStatus status(std::size_t instance) const;
    [[nodiscard]] bool isStopped(std::size_t instance) const;
    [[nodiscard]] schema::Submission makeJob(const std::string &key, int tasks, const std::string &ticket = "") const;

    std::vector<SeenStart> starts; ///< All starts so far.
    SilentObserver observer;
    bool platformUp = true; ///< Down: reads and appends fail as unavailable.
    bool loseAppendAnswers = false; ///< Appends take effect, and their answers time out.
    std::set<std::string> listedLeaving; ///< Targets that the instance list shows as leaving.
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
    void drain(std::size_t instance, CoreActions &actions);
    void carryOut(std::size_t instance, CoreAction &action);
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
    WallTime m_wall { std::chrono::hours(400000) };
};

} // namespace Eelgrasscleat
