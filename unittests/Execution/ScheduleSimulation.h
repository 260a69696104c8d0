/// @file
/// Simulation of four entry instances with a fake log, peer streams and targets, driven by a single random source.
/// Every step checks the invariants; a violation throws an exception that contains the schedule.
#pragma once

#include <eelgrasscleat/Execution/SubmissionTable.h>
#include <eelgrasscleat/Support/Random.h>

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Simulation of the schedule that a seed generates.
class ScheduleSimulation
{
public:
    explicit ScheduleSimulation(std::uint64_t seed);

    /// Executes random steps, then ends all faults and runs until every caller has been answered.
    void run(int steps);

    /// Event counts, with which a test verifies that its schedules cover the relevant cases.
    struct Counts
    {
        std::uint64_t starts = 0;
        std::uint64_t complete = 0;
        std::map<schema::FailureReason, std::uint64_t> failed;
        std::uint64_t forwards = 0;
        std::uint64_t lostClaims = 0; ///< Submissions whose claim was preceded by that of another instance.
        std::uint64_t notRun = 0;
    };
    [[nodiscard]] const Counts &counts() const
    {
        return m_counts;
    }

private:
    static constexpr std::size_t InstanceCount = 4;

    /// A submission from the point of view of its caller.
    struct Client
    {
        schema::Submission body;
        CustomerRules rules;
        std::vector<int> starts; ///< Number of starts of each task by targets.
        bool wasAnsweredNotRun = false;
    };
    /// A pending request of a caller.
    struct Request
    {
        std::size_t client = 0;
        std::size_t instance = 0;
        IncarnationId incarnation;
        bool answered = false;
    };
    struct Attempt
    {
        std::size_t instance = 0;
        IncarnationId incarnation;
        AttemptId id;
        std::string payload;
        bool repeatable = false;
    };
    struct Outcome
    {
        Attempt attempt;
        AttemptOutcome outcome = AttemptOutcome::Done;
        std::string output;
    };
    /// A message between two incarnations.
    struct Message
    {
        std::size_t from = 0;
        IncarnationId fromIncarnation;
        IncarnationId to;
        std::variant<ForwardToHome, ForwardCancelToHome, schema::SubmissionAnswer> content;
        SubmissionId forward; ///< The forward to which an answer belongs.
    };
    struct PeerRequest
    {
        std::size_t from = 0;
        IncarnationId fromIncarnation;
        SubmissionId submission;
    };
    struct Instance
    {
        IncarnationId incarnation;
        std::unique_ptr<SubmissionTable> table;
        std::deque<TaskRef> queue;
        std::vector<Digest> pendingClaims; ///< Claims to be appended.
        std::map<CallerId, PeerRequest> peerRequests;
        std::size_t nextOffset = 0;
        bool frozen = false;
        bool leaving = false;
        std::chrono::milliseconds clockError {};
    };
    struct LogRecord
    {
        Digest digest;
        IncarnationId claimant;
        Instant at;
    };

    [[nodiscard]] std::uint64_t draw(std::uint64_t bound)
    {
        return drawBelow(m_random, bound);
    }
    [[nodiscard]] ClockReading clockOf(const Instance &instance) const;
    [[nodiscard]] std::size_t drawRunningInstance();
    [[nodiscard]] std::size_t instanceOf(IncarnationId incarnation) const;
    /// @returns the output that a target produces for a payload.
    static std::string outputOf(const std::string &payload);
    void trace(const std::string &text);
    void require(bool holds, const std::string &what) const;

    void step();
    void submitNew();
    void submitAt(std::size_t client, std::size_t at);
    void cancelOne();
    void apply(std::size_t at, ExecutionActions &actions);
    void handleAnswer(std::size_t at, const AnswerCaller &answer);
    void checkAnswer(Request &request, const schema::SubmissionAnswer &answer);
    void deliverMessage(bool duplicate);
    void deliver(const Message &message);
    void appendClaim(std::size_t at);
    void readLog(std::size_t at);
    void expireLog();
    void beginAttempt(std::size_t at);
    void deliverStart(bool faulty);
    void recordStart(const Attempt &attempt);
    void deliverOutcome(bool duplicate);
    void advance(Duration by);
    void stopOrKill(std::size_t at);
    void kill(std::size_t at, bool planned);
    void reportLost(std::size_t at, IncarnationId home);
    void drain();
    [[nodiscard]] bool hasWork() const;

    RandomSource m_random;
    std::vector<std::string> m_trace;
    Counts m_counts;
    Instant m_now { std::chrono::hours(1) };
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastCaller = 0;
    std::array<Instance, InstanceCount> m_instances;
    std::vector<Client> m_clients;
    std::map<CallerId, Request> m_requests;
    std::vector<LogRecord> m_log;
    std::size_t m_firstKept = 0;
    bool m_logDown = false;
    std::set<std::pair<std::size_t, std::size_t>> m_cuts;
    std::vector<Message> m_messages;
    std::vector<Attempt> m_starts; ///< Sent to a target but not received yet.
    std::vector<Outcome> m_outcomes; ///< Sent by a target but not received yet.
};

} // namespace Eelgrasscleat
