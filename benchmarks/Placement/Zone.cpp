/// @file
/// Event-driven run of one zone: jobs arrive, instances place, targets run, refuse, fail, fall silent or leave.
#include "Zone.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <queue>

namespace Eelgrasscleat
{

namespace
{

constexpr Duration kWarmUp = std::chrono::seconds(5); ///< Not measured: speeds are unknown at the start.
constexpr Duration kFaultAt = std::chrono::seconds(8);
constexpr Duration kListLag = std::chrono::seconds(3); ///< From leaving to the list's showing it.
constexpr Duration kLossTimeout = std::chrono::seconds(2); ///< From a silent target's death to its connection's end.
constexpr Duration kFailureTime = std::chrono::milliseconds(5); ///< What a failing target takes for a task.
constexpr Duration kReconnectTime = std::chrono::milliseconds(1); ///< Until a broken connection is seen again.
constexpr Duration kPollInterval = std::chrono::milliseconds(10); ///< Between tries to place a waiting task.
constexpr Duration kBurstInterval = std::chrono::seconds(5);
constexpr Duration kDrainTime = std::chrono::seconds(500); ///< After the last arrival; a straggler may take 400 s.
constexpr std::uint32_t kTargetsInRack = 8;
constexpr std::uint32_t kCustomers = 4;
constexpr double kStragglerFactor = 20;
constexpr double kLongTasks = 0.02; ///< Share of tasks of 2 to 5 s; the others are 50 ms to 1 s, uniform in the log.
constexpr double kMeanTaskSeconds = 0.98 * 0.317 + 0.02 * 3.5;

enum class EventKind
{
    JobArrives,
    BurstArrives,
    StartReachesTarget,
    TaskLeavesTarget,
    OutcomeReachesInstance,
    FaultBegins,
    ListShowsLeaving,
    Poll,
};

struct Event
{
    Instant at;
    std::uint64_t order = 0;
    EventKind kind = EventKind::Poll;
    std::size_t attempt = 0;
};

struct LaterEvent
{
    bool operator()(const Event &first, const Event &second) const
    {
        return first.at != second.at ? first.at > second.at : first.order > second.order;
    }
};

struct FakeTarget
{
    double slowness = 1;
    std::uint32_t rack = 0;
    std::uint32_t running = 0;
    double failing = 0; ///< Share of tasks.
    bool silent = false;
    bool leaving = false;
    std::array<bool, kInstances> disconnected {}; ///< Seen from each instance.

    [[nodiscard]] bool isBad() const
    {
        return failing > 0 || silent || leaving;
    }
};

struct Job
{
    Instant arrivedAt;
    std::uint32_t instance = 0;
    std::uint32_t customer = 0;
    bool urgent = true;
    std::uint32_t tasks = 0;
    std::uint32_t left = 0;
    bool failed = false;
    Duration ideal {}; ///< Of its longest task.
};

struct Task
{
    std::size_t job = 0;
    Duration size {}; ///< On the fastest target.
    Duration hint {};
    bool straggles = false;
};

struct Attempt
{
    std::size_t task = 0;
    Placement placement;
    PlacementRequest request;
    std::size_t target = 0;
    Instant sentAt;
    PlacementOutcome outcome = PlacementOutcome::Done;
};

struct Instance
{
    std::unique_ptr<Placer> placer;
    std::deque<std::size_t> urgent;
    std::deque<std::size_t> patient;
};

class ZoneRun
{
public:
    ZoneRun(const Trace &trace, std::uint32_t targets, std::uint64_t seed, const PlacerFactory &makePlacer);

    void run();
    void addTo(Figures &figures) const;

private:
    void schedule(Instant at, EventKind kind, std::size_t attempt = 0);
    void handle(const Event &event);
    void addJob(std::uint32_t tasks);
    void scheduleNextJob();
    void placeAll(Instance &instance, std::uint32_t rank);
    void placeQueue(Instance &instance, std::uint32_t rank, std::deque<std::size_t> &queue);
    void send(Instance &instance, std::uint32_t rank, std::size_t attempt);
    void arriveAtTarget(std::size_t attempt);
    void leaveTarget(std::size_t attempt);
    void arriveAtInstance(std::size_t attempt);
    void finishTask(const Attempt &attempt);
    void beginFault();
    void showLeaving();
    [[nodiscard]] PlacementRequest requestFor(const Task &task, const Instance &instance) const;
    double uniform(double from, double to);

    const Trace &m_trace;
    RandomSource m_random; ///< Of the trace; the same draws for every policy.
    RandomSource m_policyRandom;
    std::vector<double> m_slowness;
    std::vector<FakeTarget> m_targets;
    std::vector<Instance> m_instances;
    std::vector<Job> m_jobs;
    std::vector<Task> m_tasks;
    std::vector<Attempt> m_attempts;
    std::priority_queue<Event, std::vector<Event>, LaterEvent> m_events;
    std::uint64_t m_order = 0;
    std::uint64_t m_tasksOpen = 0;
    Instant m_now {};
    double m_jobsPerSecond = 0;
    Figures m_figures;
};

ZoneRun::ZoneRun(const Trace &trace, std::uint32_t targets, std::uint64_t seed, const PlacerFactory &makePlacer)
    : m_trace(trace)
    , m_random(seed)
    , m_policyRandom(seed + 1000003)
    , m_slowness(slownessOfFleet(trace.fleet, targets))
{
    const std::uint32_t racks = (targets + kTargetsInRack - 1) / kTargetsInRack;
    double capacity = 0;
    for (std::uint32_t n = 0; n < targets; ++n) {
        m_targets.push_back(FakeTarget { m_slowness[n], n % racks });
        capacity += kSlots / m_slowness[n];
    }
    m_jobsPerSecond = trace.load * capacity / kMeanTaskSeconds / ((trace.largestJob + 1) / 2.0);
    for (std::uint32_t rank = 0; rank < kInstances; ++rank) {
        Instance &instance = m_instances.emplace_back();
        instance.placer = makePlacer(m_slowness, rank);
        instance.placer->setSlotShare(SlotShare { kInstances, rank });
        for (std::uint32_t n = 0; n < targets; ++n) {
            const std::string rack = "rack" + std::to_string(m_targets[n].rack);
            instance.placer->setTarget(TargetInfo { TargetName(std::to_string(n)),
                                                    ServiceName("engrave-desk"),
                                                    ZoneName("Regina"),
                                                    rack,
                                                    kSlots,
                                                    60,
                                                    Requirements() },
                                       m_now);
        }
    }
}

double ZoneRun::uniform(double from, double to)
{
    return std::uniform_real_distribution<double>(from, to)(m_random);
}

void ZoneRun::schedule(Instant at, EventKind kind, std::size_t attempt)
{
    m_events.push(Event { at, m_order++, kind, attempt });
}

void ZoneRun::scheduleNextJob()
{
    const double gap = -std::log(1 - uniform(0, 1)) / m_jobsPerSecond;
    const Instant at = m_now + Duration(static_cast<Duration::rep>(gap * 1e6));
    if (at < Instant(m_trace.length)) {
        schedule(at, EventKind::JobArrives);
    }
}

void ZoneRun::run()
{
    scheduleNextJob();
    schedule(Instant(kPollInterval), EventKind::Poll);
    if (m_trace.burst > 0) {
        schedule(Instant(kBurstInterval), EventKind::BurstArrives);
    }
    if (m_trace.fault != Fault::None) {
        schedule(Instant(kFaultAt), EventKind::FaultBegins);
    }
    while (!m_events.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        const bool over = m_now > Instant(m_trace.length) && m_tasksOpen == 0;
        if (over || m_now > Instant(m_trace.length + kDrainTime)) {
            break;
        }
        handle(event);
    }
    m_figures.unfinished = m_tasksOpen;
}

void ZoneRun::handle(const Event &event)
{
    switch (event.kind) {
    case EventKind::JobArrives:
        addJob(1 + static_cast<std::uint32_t>(drawBelow(m_random, m_trace.largestJob)));
        scheduleNextJob();
        break;
    case EventKind::BurstArrives:
        addJob(m_trace.burst);
        if (m_now + kBurstInterval < Instant(m_trace.length)) {
            schedule(m_now + kBurstInterval, EventKind::BurstArrives);
        }
        break;
    case EventKind::StartReachesTarget:
        arriveAtTarget(event.attempt);
        break;
    case EventKind::TaskLeavesTarget:
        leaveTarget(event.attempt);
        break;
    case EventKind::OutcomeReachesInstance:
        arriveAtInstance(event.attempt);
        break;
    case EventKind::FaultBegins:
        beginFault();
        break;
    case EventKind::ListShowsLeaving:
        showLeaving();
        break;
    case EventKind::Poll:
        for (std::uint32_t rank = 0; rank < kInstances; ++rank) {
            placeAll(m_instances[rank], rank);
        }
        schedule(m_now + kPollInterval, EventKind::Poll);
        break;
    }
}

void ZoneRun::addJob(std::uint32_t tasks)
{
    Job job;
    job.arrivedAt = m_now;
    job.instance = static_cast<std::uint32_t>(drawBelow(m_random, kInstances));
    job.customer = static_cast<std::uint32_t>(drawBelow(m_random, kCustomers));
    job.urgent = uniform(0, 1) >= m_trace.patient;
    job.tasks = tasks;
    job.left = tasks;
    Instance &instance = m_instances[job.instance];
    for (std::uint32_t n = 0; n < tasks; ++n) {
        const double seconds =
            uniform(0, 1) < kLongTasks ? uniform(2, 5) : std::exp(uniform(std::log(0.05), std::log(1.0)));
        // Each customer's hints are off by a factor of their own, from 0.5x to 1.7x, and each hint by one more.
        const double spread = std::log(m_trace.hintSpread);
        const double wrong = (0.5 + 0.4 * job.customer) * std::exp(uniform(-spread, spread));
        Task task;
        task.job = m_jobs.size();
        task.size = Duration(static_cast<Duration::rep>(seconds * 1e6));
        task.hint = Duration(static_cast<Duration::rep>(seconds * wrong * 1e6));
        task.straggles = uniform(0, 1) < m_trace.stragglers;
        job.ideal = std::max(job.ideal, task.size + kRoundTrip);
        (job.urgent ? instance.urgent : instance.patient).push_back(m_tasks.size());
        m_tasks.push_back(task);
        ++m_tasksOpen;
    }
    m_jobs.push_back(job);
    if (m_now >= Instant(kWarmUp)) {
        m_figures.tasks += tasks;
    }
    placeAll(instance, job.instance);
}

void ZoneRun::placeAll(Instance &instance, std::uint32_t rank)
{
    placeQueue(instance, rank, instance.urgent);
    placeQueue(instance, rank, instance.patient);
}

PlacementRequest ZoneRun::requestFor(const Task &task, const Instance &instance) const
{
    const Job &job = m_jobs[task.job];
    PlacementRequest request;
    request.service = ServiceName("engrave-desk");
    request.customer = CustomerName("customer" + std::to_string(job.customer));
    request.expectedRun = task.hint;
    request.urgent = job.urgent;
    request.remainingTasks = job.left;
    request.jobTaskCount = job.tasks;
    const std::size_t waiting = instance.urgent.size() + (job.urgent ? 0 : instance.patient.size());
    request.queued = static_cast<std::uint32_t>(waiting - 1);
    return request;
}

void ZoneRun::placeQueue(Instance &instance, std::uint32_t rank, std::deque<std::size_t> &queue)
{
    while (!queue.empty()) {
        const std::size_t task = queue.front();
        const PlacementRequest request = requestFor(m_tasks[task], instance);
        const auto placement = instance.placer->choose(request, m_now, m_policyRandom);
        if (!placement) {
            return;
        }
        queue.pop_front();
        const std::size_t target = std::stoul(placement->target.value);
        m_attempts.push_back(Attempt { task, *placement, request, target, m_now, PlacementOutcome::Done });
        send(instance, rank, m_attempts.size() - 1);
    }
}

void ZoneRun::send(Instance &instance, std::uint32_t rank, std::size_t n)
{
    Attempt &attempt = m_attempts[n];
    const FakeTarget &target = m_targets[attempt.target];
    instance.placer->attemptStarted(attempt.placement, m_now);
    if (target.disconnected.at(rank)) {
        attempt.outcome = PlacementOutcome::Unreachable;
        schedule(m_now + kReconnectTime, EventKind::OutcomeReachesInstance, n);
        return;
    }
    if (target.isBad() && m_now >= Instant(kWarmUp)) {
        ++m_figures.badStarts;
    }
    schedule(m_now + kRoundTrip / 2, EventKind::StartReachesTarget, n);
}

void ZoneRun::arriveAtTarget(std::size_t n)
{
    Attempt &attempt = m_attempts[n];
    FakeTarget &target = m_targets[attempt.target];
    const Task &task = m_tasks[attempt.task];
    if (target.silent) {
        attempt.outcome = PlacementOutcome::Lost;
        schedule(m_now + kLossTimeout, EventKind::OutcomeReachesInstance, n);
        return;
    }
    if (target.leaving || target.running >= kSlots) {
        attempt.outcome = target.leaving ? PlacementOutcome::Leaving : PlacementOutcome::Refused;
        schedule(m_now + kRoundTrip / 2, EventKind::OutcomeReachesInstance, n);
        return;
    }
    ++target.running;
    if (target.failing > 0 && std::uniform_real_distribution<double>(0, 1)(m_policyRandom) < target.failing) {
        attempt.outcome = PlacementOutcome::Failed;
        schedule(m_now + kFailureTime, EventKind::TaskLeavesTarget, n);
        return;
    }
    const double run = task.size.count() * target.slowness * (task.straggles ? kStragglerFactor : 1);
    schedule(m_now + Duration(static_cast<Duration::rep>(run)), EventKind::TaskLeavesTarget, n);
}

void ZoneRun::leaveTarget(std::size_t n)
{
    Attempt &attempt = m_attempts[n];
    FakeTarget &target = m_targets[attempt.target];
    --target.running;
    if (target.silent) {
        attempt.outcome = PlacementOutcome::Lost;
        schedule(std::max(m_now, Instant(kFaultAt + kLossTimeout)), EventKind::OutcomeReachesInstance, n);
        return;
    }
    schedule(m_now + kRoundTrip / 2, EventKind::OutcomeReachesInstance, n);
}

void ZoneRun::arriveAtInstance(std::size_t n)
{
    const Attempt attempt = m_attempts[n];
    const Job &job = m_jobs[m_tasks[attempt.task].job];
    Instance &instance = m_instances[job.instance];
    instance.placer->attemptEnded(attempt.placement, attempt.request, attempt.outcome, m_now - attempt.sentAt, m_now);
    std::deque<std::size_t> &queue = job.urgent ? instance.urgent : instance.patient;
    switch (attempt.outcome) {
    case PlacementOutcome::Lost:
        m_targets[attempt.target].disconnected.at(job.instance) = true;
        finishTask(attempt);
        break;
    case PlacementOutcome::Done:
    case PlacementOutcome::Failed:
        finishTask(attempt);
        break;
    case PlacementOutcome::Leaving:
        instance.placer->setLeaving(attempt.placement.target, true, m_now);
        [[fallthrough]];
    case PlacementOutcome::Refused:
        m_figures.wastedMessages += m_now >= Instant(kWarmUp) ? 2 : 0;
        [[fallthrough]];
    case PlacementOutcome::Unreachable:
        queue.push_front(attempt.task);
        break;
    }
    placeAll(instance, job.instance);
}

void ZoneRun::finishTask(const Attempt &attempt)
{
    const Task &task = m_tasks[attempt.task];
    Job &job = m_jobs[task.job];
    --job.left;
    --m_tasksOpen;
    const bool done = attempt.outcome == PlacementOutcome::Done;
    job.failed = job.failed || !done;
    if (job.arrivedAt < Instant(kWarmUp)) {
        return;
    }
    const double elapsed = static_cast<double>((m_now - job.arrivedAt).count());
    if (done) {
        const double ratio = elapsed / static_cast<double>((task.size + kRoundTrip).count());
        (job.urgent ? m_figures.responses : m_figures.patientResponses).push_back(ratio);
    }
    if (job.left == 0 && !job.failed) {
        m_figures.jobs.push_back(elapsed / static_cast<double>(job.ideal.count()));
    }
}

void ZoneRun::beginFault()
{
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        FakeTarget &target = m_targets[n];
        target.silent = m_trace.fault == Fault::LoseRack && target.rack == 0;
        target.leaving = m_trace.fault == Fault::LeaveThird && n % 3 == 0;
    }
    if (m_trace.fault == Fault::FailAll) {
        m_targets.front().failing = 1;
    }
    if (m_trace.fault == Fault::FailHalf) {
        m_targets.front().failing = 0.5;
    }
    schedule(m_now + kListLag, EventKind::ListShowsLeaving);
}

void ZoneRun::showLeaving()
{
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        if (!m_targets[n].leaving) {
            continue;
        }
        for (Instance &instance : m_instances) {
            instance.placer->setLeaving(TargetName(std::to_string(n)), true, m_now);
        }
    }
}

void append(std::vector<double> &to, const std::vector<double> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

void ZoneRun::addTo(Figures &figures) const
{
    append(figures.responses, m_figures.responses);
    append(figures.patientResponses, m_figures.patientResponses);
    append(figures.jobs, m_figures.jobs);
    figures.tasks += m_figures.tasks;
    figures.wastedMessages += m_figures.wastedMessages;
    figures.badStarts += m_figures.badStarts;
    figures.unfinished += m_figures.unfinished;
}

} // namespace

void runZone(
    const Trace &trace, std::uint32_t targets, std::uint64_t seed, const PlacerFactory &makePlacer, Figures &figures)
{
    ZoneRun run(trace, targets, seed, makePlacer);
    run.run();
    run.addTo(figures);
}

} // namespace Eelgrasscleat
