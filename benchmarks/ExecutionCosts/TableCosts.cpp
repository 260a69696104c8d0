/// @file
/// Benchmark of the submission table's processor time: against the same path without start-once, and how it grows.
/// Fails when a ratio is over its bound.
#include "../../lib/Execution/Answers.h"
#include "../../lib/Execution/TaskRunner.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <numeric>

namespace Eelgrasscleat
{

static constexpr int Repeats = 15;
static constexpr IncarnationId Self { 7 };

/// @returns the shortest of several runs, in seconds; the shortest has the least of other programs in it.
static double shortest(const std::function<double()> &run)
{
    double best = run();
    for (int i = 1; i < Repeats; ++i) {
        best = std::min(best, run());
    }
    return best;
}

static double secondsSince(std::chrono::steady_clock::time_point begin)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
}

static ClockReading clockAt(Duration sinceStart)
{
    const auto wall = std::chrono::hours(1) + std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart);
    return { Instant(std::chrono::hours(1) + sinceStart), WallTime(wall) };
}

static SubmissionTableSettings tableSettings()
{
    SubmissionTableSettings settings;
    settings.answerRetention = std::chrono::minutes(10);
    settings.maxAge = std::chrono::hours(1);
    settings.maxSkew = std::chrono::seconds(1);
    return settings;
}

static schema::Submission makeBody(std::uint64_t number, int tasks)
{
    schema::Submission body;
    body.set_customer("club");
    body.set_key("key-" + std::to_string(number));
    body.set_ticket(ticketOf(Self));
    body.set_created_ms(static_cast<std::uint64_t>(clockAt({}).wall.time_since_epoch().count()));
    for (int i = 0; i < tasks; ++i) {
        body.add_tasks()->set_payload(std::string(100, 'x'));
    }
    return body;
}

static std::vector<schema::Submission> makeBodies(std::uint64_t submissions, int tasks)
{
    std::vector<schema::Submission> bodies;
    for (std::uint64_t number = 0; number < submissions; ++number) {
        bodies.push_back(makeBody(number, tasks));
    }
    return bodies;
}

static SubmissionId queuedIn(const ExecutionActions &actions)
{
    return std::get<EnqueueTasks>(actions.front()).submission;
}

/// Submits, starts and ends every task of every body through the table.
static double runTable(const std::vector<schema::Submission> &bodies)
{
    SubmissionTable table(Self, tableSettings());
    const ClockReading clock = clockAt({});
    const auto begin = std::chrono::steady_clock::now();
    std::uint64_t caller = 0;
    for (const schema::Submission &body : bodies) {
        ExecutionActions out;
        table.submit(body, {}, CallerId(++caller), false, clock, out);
        const SubmissionId id = queuedIn(out);
        out.clear();
        for (std::uint32_t task = 0; task < static_cast<std::uint32_t>(body.tasks_size()); ++task) {
            const auto attempt = table.beginAttempt({ id, task }, clock);
            table.endAttempt(*attempt, AttemptOutcome::Done, "done", clock, out);
        }
    }
    return secondsSince(begin);
}

/// The same with records and attempts only: no digest, no memory of ended submissions, no kept answer.
static double runWithoutStartOnce(const std::vector<schema::Submission> &bodies)
{
    RecordStore records;
    TaskRunner runner(records, 0.1);
    const Instant now = clockAt({}).now;
    const auto begin = std::chrono::steady_clock::now();
    std::uint64_t caller = 0;
    for (const schema::Submission &body : bodies) {
        ExecutionActions out;
        auto made = std::make_unique<SubmissionRecord>();
        made->digest = { 1, ++caller };
        made->body = body;
        SubmissionRecord &record = records.add(std::move(made));
        records.joinCaller(record, CallerId(caller));
        record.becomeHome();
        std::vector<std::uint32_t> tasks(record.tasks.size());
        std::iota(tasks.begin(), tasks.end(), 0);
        out.emplace_back(EnqueueTasks { record.id, std::move(tasks), false });
        for (std::uint32_t task = 0; task < record.tasks.size(); ++task) {
            const auto attempt = runner.begin({ record.id, task }, now);
            runner.end(*attempt, AttemptOutcome::Done, "done", now, out);
        }
        auto answer = completeAnswer(record);
        answer.set_ticket(ticketOf(Self));
        out.emplace_back(AnswerCaller { CallerId(caller), std::move(answer) });
        records.remove(record.id);
    }
    return secondsSince(begin);
}

static int printRatio(const char *what, double ratio, double bound)
{
    const bool isKept = ratio <= bound;
    std::printf("%-72s %8.2f  bound %6.1f  %s\n", what, ratio, bound, isKept ? "kept" : "MISSED");
    return isKept ? 0 : 1;
}

static int measureStartOnceCost(const char *what, std::uint64_t submissions, int tasks)
{
    constexpr double bound = 2;
    const auto bodies = makeBodies(submissions, tasks);
    double with = runTable(bodies);
    double without = runWithoutStartOnce(bodies);
    for (int i = 1; i < Repeats; ++i) {
        with = std::min(with, runTable(bodies));
        without = std::min(without, runWithoutStartOnce(bodies));
    }
    std::printf("%-72s %8.2f us with, %.2f us without\n", what, with / submissions * 1e6, without / submissions * 1e6);
    return printRatio("  ratio", with / without, bound);
}

/// Queues 100,000 tasks in jobs, and cancels some of the jobs. @returns the seconds for the cancels.
static double cancelJobs(std::uint64_t cancelled)
{
    constexpr std::uint64_t jobs = 200;
    constexpr int tasksPerJob = 500;
    SubmissionTable table(Self, tableSettings());
    const auto bodies = makeBodies(jobs, tasksPerJob);
    ExecutionActions out;
    for (const schema::Submission &body : bodies) {
        table.submit(body, {}, CallerId(), false, clockAt({}), out);
    }
    out.clear();
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t job = 0; job < cancelled; ++job) {
        table.cancel(CustomerName("club"), bodies[job].key(), CallerId(), clockAt({}), out);
    }
    return secondsSince(begin);
}

static int measureCancels()
{
    constexpr double bound = 200; // Twice the ratio of the numbers of tasks.
    const double few = shortest([] { return cancelJobs(2); });
    const double many = shortest([] { return cancelJobs(200); });
    std::printf("of 100,000 queued tasks: cancel of 1,000 %.1f us, of all %.1f us\n", few * 1e6, many * 1e6);
    return printRatio("  ratio for 100 times the tasks", many / few, bound);
}

/// @returns the seconds for one attempt, begun and ended, while others are open.
static double attemptSeconds(std::uint32_t open)
{
    constexpr std::uint32_t rounds = 200'000;
    SubmissionTable table(Self, tableSettings());
    ExecutionActions out;
    table.submit(makeBody(0, static_cast<int>(open)), {}, CallerId(), false, clockAt({}), out);
    const SubmissionId id = queuedIn(out);
    std::vector<AttemptId> attempts;
    for (std::uint32_t task = 0; task < open; ++task) {
        attempts.push_back(*table.beginAttempt({ id, task }, clockAt({})));
    }
    table.submit(makeBody(1, static_cast<int>(rounds)), {}, CallerId(), false, clockAt({}), out);
    const SubmissionId measured = std::get<EnqueueTasks>(out.back()).submission;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint32_t task = 0; task < rounds; ++task) {
        const auto attempt = table.beginAttempt({ measured, task }, clockAt({}));
        table.endAttempt(*attempt, AttemptOutcome::Done, "done", clockAt({}), out);
    }
    return secondsSince(begin) / rounds;
}

static int measureAttempts()
{
    constexpr double bound = 2;
    const double few = shortest([] { return attemptSeconds(1'000); });
    const double many = shortest([] { return attemptSeconds(10'000); });
    std::printf("one attempt with 1,000 open %.3f us, with 10,000 open %.3f us\n", few * 1e6, many * 1e6);
    return printRatio("  ratio", many / few, bound);
}

} // namespace Eelgrasscleat

int main()
{
    using namespace Eelgrasscleat;
    int missed = measureStartOnceCost("request of one task, start to answer", 20'000, 1);
    missed += measureStartOnceCost("job of 100 tasks, start to answer", 500, 100);
    missed += measureCancels();
    missed += measureAttempts();
    return missed == 0 ? 0 : 1;
}
