/// @file
/// Fake targets, and the checks of what they saw.
#include "FakeFleet.h"

#include <algorithm>

namespace Eelgrasscleat
{

namespace
{

constexpr Duration kOrderTimeout = std::chrono::milliseconds(150);
/// How soon a waiting inspection notices an end.
constexpr Duration kLookInterval = std::chrono::milliseconds(3);
constexpr TargetTime kLongestLease { 1000 };

bool happens(RandomSource &random, double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

std::string text(const RunName &run)
{
    return run.task.job.value + '.' + std::to_string(run.task.step) + '.' + std::to_string(run.task.index) + '/'
        + std::to_string(run.run);
}

} // namespace

void EventQueue::at(Instant when, std::function<void()> event)
{
    m_events.emplace(std::max(when, m_now), std::move(event));
}

void EventQueue::after(Duration delay, std::function<void()> event)
{
    at(m_now + delay, std::move(event));
}

void EventQueue::runUntil(Instant end)
{
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto event = std::move(m_events.begin()->second);
        m_now = m_events.begin()->first;
        m_events.erase(m_events.begin());
        event();
    }
    m_now = end;
}

FakeTarget::FakeTarget(DispatchTarget info, double slowness, double clockRate)
    : description(std::move(info))
    , m_slowness(slowness)
    , m_clockRate(clockRate)
{
}

TargetTime FakeTarget::clock(Instant now) const
{
    const auto age = std::chrono::duration<double, std::milli>(now - m_startedAt) * m_clockRate;
    return std::chrono::duration_cast<TargetTime>(age);
}

void FakeTarget::end(const RunName &run, RunEndKind kind)
{
    m_ends.push_back({ ++m_lastEnd, run, kind });
    std::uint32_t &highest = m_highestEnded[run.task];
    highest = std::max(highest, run.run);
}

void FakeTarget::advance(Instant now)
{
    const bool lapsed = clock(now) >= m_leaseEnd;
    for (auto it = running.begin(); it != running.end();) {
        const bool isDone = !hangs && it->second.doneAt <= now;
        if (isDone || lapsed) {
            const RunEndKind kind = failsAll ? RunEndKind::Failed : RunEndKind::Done;
            end(it->first, isDone ? kind : RunEndKind::Expired);
            it = running.erase(it);
        } else {
            ++it;
        }
    }
}

void FakeTarget::restart(Instant now)
{
    running.clear();
    m_ends.clear();
    m_highestEnded.clear();
    m_lastEnd = 0;
    m_fence = 0;
    m_leaseEnd = TargetTime(0);
    m_startedAt = now;
    ++description.incarnation;
}

CommandResult FakeTarget::start(const StartCommand &order, Duration work, Instant now)
{
    advance(now);
    CommandResult result { CommandStatus::Accepted, clock(now), true };
    if (order.token.value < m_fence) {
        result.status = CommandStatus::Fenced;
        return result;
    }
    m_fence = order.token.value;
    if (running.count(order.run) > 0) {
        return result;
    }
    if (order.leaseEnd <= clock(now)) {
        result.status = CommandStatus::LeaseExpired;
        return result;
    }
    m_leaseEnd = std::max(m_leaseEnd, std::min(order.leaseEnd, clock(now) + kLongestLease));
    const auto highest = m_highestEnded.find(order.run.task);
    if (highest != m_highestEnded.end() && order.run.run <= highest->second) {
        result.status = CommandStatus::StaleRun;
        return result;
    }
    running[order.run] = { {}, now + std::chrono::duration_cast<Duration>(work * m_slowness) };
    m_begun[order.run] = now;
    return result;
}

CommandResult FakeTarget::stop(FencingToken token, const RunName &run, Instant now)
{
    advance(now);
    CommandResult result { CommandStatus::Accepted, clock(now), true };
    if (token.value < m_fence) {
        result.status = CommandStatus::Fenced;
        return result;
    }
    m_fence = token.value;
    if (running.erase(run) > 0) {
        end(run, RunEndKind::Stopped);
    } else {
        std::uint32_t &highest = m_highestEnded[run.task];
        highest = std::max(highest, run.run);
    }
    return result;
}

CommandResult FakeTarget::inspect(const InspectCommand &order, TargetReport &report, Instant now)
{
    advance(now);
    CommandResult result { CommandStatus::Accepted, clock(now), true };
    if (order.token.value < m_fence) {
        result.status = CommandStatus::Fenced;
        return result;
    }
    m_fence = order.token.value;
    std::erase_if(m_ends, [&order](const ReportedEnd &it) { return it.number <= order.acknowledged; });
    if (order.renew) {
        m_leaseEnd = std::max(m_leaseEnd, std::min(order.leaseEnd, clock(now) + kLongestLease));
    }
    report.incarnation = description.incarnation;
    report.ended = m_ends;
    for (const auto &it : running) {
        const Instant begun = m_begun[it.first];
        const double done = static_cast<double>((now - begun).count())
            / static_cast<double>(std::max<Duration::rep>(1, (it.second.doneAt - begun).count()));
        report.running.push_back({ it.first, hangs ? 0 : 100 * done });
    }
    return result;
}

FakeFleet::FakeFleet(EventQueue &queue, std::uint64_t seed)
    : random(seed)
    , m_queue(queue)
{
}

void FakeFleet::addTargets(std::size_t count)
{
    constexpr double kSlowness[] = { 1.6, 1.0, 0.6 };
    for (std::size_t i = 0; i < count; ++i) {
        DispatchTarget target;
        target.name = TargetName("target-" + std::to_string(i));
        target.service = ServiceName("service");
        target.zone = ZoneName("zone");
        target.capacity = { 32000, 65536, 0 };
        target.incarnation = 1;
        const double clockRate = 1 - 0.02 * static_cast<double>(i % 2);
        targets.emplace_back(target, kSlowness[i % 3], clockRate);
    }
}

void FakeFleet::expectTask(const TaskName &task, const ResourceDemand &demand, Duration work)
{
    m_tasks[task] = { demand, work };
}

void FakeFleet::check()
{
    std::map<TaskName, int> atWork;
    for (FakeTarget &target : targets) {
        target.advance(m_queue.now());
        std::uint32_t used = 0;
        for (const auto &it : target.running) {
            used += it.second.demand.milliCores;
            if (++atWork[it.first.task] > 1) {
                m_violations.push_back("at work twice: " + text(it.first));
            }
        }
        if (used > target.description.capacity.milliCores) {
            m_violations.push_back("over capacity: " + target.description.name.value);
        }
    }
}

FakeTarget *FakeOrders::find(const TargetName &name)
{
    const auto it = std::find_if(m_fleet.targets.begin(), m_fleet.targets.end(), [&name](const FakeTarget &target) {
        return target.description.name == name;
    });
    return it == m_fleet.targets.end() ? nullptr : &*it;
}

void FakeOrders::deliver(std::function<void()> event)
{
    if (frozen) {
        m_waiting.push_back(std::move(event));
    } else {
        event();
    }
}

void FakeOrders::thaw()
{
    frozen = false;
    const auto waiting = std::move(m_waiting);
    m_waiting.clear();
    for (const auto &it : waiting) {
        it();
    }
}

void FakeOrders::carry(const std::function<CommandResult(FakeTarget &)> &order,
                       const TargetName &target,
                       Duration answerTimeout,
                       std::function<void(const CommandResult &)> answer)
{
    RandomSource &random = m_fleet.random;
    const Duration there = std::chrono::microseconds(100 + drawBelow(random, 2000));
    const Duration back = std::chrono::microseconds(100 + drawBelow(random, 2000));
    const auto unanswered = [this, answerTimeout, answer] {
        m_queue.after(answerTimeout, [this, answer] { deliver([answer] { answer({}); }); });
    };
    const auto execute = [this, order, target]() -> CommandResult {
        FakeTarget *found = find(target);
        const CommandResult result = found != nullptr ? order(*found) : CommandResult {};
        m_fleet.check();
        return result;
    };
    if (cutOff || happens(random, m_fleet.faults.lost)) {
        unanswered();
        return;
    }
    if (happens(random, m_fleet.faults.late)) {
        unanswered();
        // The target has taken the order and holds it back: it is gone with the target's incarnation.
        const FakeTarget *taker = find(target);
        const std::uint64_t incarnation = taker != nullptr ? taker->description.incarnation : 0;
        m_queue.after(std::chrono::milliseconds(2000 + drawBelow(random, 10000)), [this, execute, target, incarnation] {
            const FakeTarget *found = find(target);
            if (found != nullptr && found->description.incarnation == incarnation) {
                execute();
            }
        });
        return;
    }
    const bool requestFailed = happens(random, m_fleet.faults.requestFailed);
    if (requestFailed) {
        unanswered();
    }
    m_queue.after(there, [this, execute, answer, back, requestFailed] {
        const CommandResult result = execute();
        if (!requestFailed) {
            m_queue.after(back, [this, answer, result] { deliver([answer, result] { answer(result); }); });
        }
    });
}

void FakeOrders::start(const StartCommand &order)
{
    const auto task = m_fleet.m_tasks.find(order.run.task);
    if (task == m_fleet.m_tasks.end()) {
        m_fleet.m_violations.push_back("nobody asked for " + text(order.run));
        return;
    }
    const FakeFleet::Task known = task->second;
    StartCommand copy = order;
    copy.payload = nullptr;
    carry(
        [this, copy, known](FakeTarget &target) {
            const bool was = target.running.count(copy.run) > 0;
            const CommandResult result = target.start(copy, known.work, m_queue.now());
            if (!was && result.status == CommandStatus::Accepted) {
                target.running[copy.run].demand = known.demand;
                m_fleet.m_startedJobs.insert(copy.run.task.job);
            }
            return result;
        },
        order.target.name,
        kOrderTimeout,
        [this, copy](const CommandResult &result) {
            dispatcher->startAnswered(copy.target.name, copy.run, result, m_queue.now());
        });
}

void FakeOrders::stop(const StopCommand &order)
{
    carry([this, order](FakeTarget &target) { return target.stop(order.token, order.run, m_queue.now()); },
          order.target.name,
          kOrderTimeout,
          [this, order](const CommandResult &result) {
              dispatcher->stopAnswered(order.target.name, order.run, result, m_queue.now());
          });
}

void FakeOrders::inspect(const InspectCommand &order)
{
    auto report = std::make_shared<TargetReport>();
    const auto answer = [this, order, report](const CommandResult &result) {
        if (result.status == CommandStatus::Accepted) {
            dispatcher->inspected(order.target.name, order.number, *report, result, m_queue.now());
        } else {
            dispatcher->inspectionFailed(order.target.name, order.number, result, m_queue.now());
        }
    };
    const auto look = [this, order, report](FakeTarget &target) {
        return target.inspect(order, *report, m_queue.now());
    };
    carry(look,
          order.target.name,
          order.wait + kOrderTimeout,
          [this, order, report, answer](const CommandResult &result) {
              const bool mayWait =
                  order.wait.count() > 0 && result.status == CommandStatus::Accepted && report->ended.empty();
              if (mayWait) {
                  waitForEnd(order, report, m_queue.now() + order.wait, answer);
              } else {
                  answer(result);
              }
          });
}

/// The target answers when a run ends, or when the time to wait is over.
void FakeOrders::waitForEnd(const InspectCommand &order,
                            const std::shared_ptr<TargetReport> &report,
                            Instant until,
                            const std::function<void(const CommandResult &)> &answer)
{
    m_queue.after(kLookInterval, [this, order, report, until, answer] {
        FakeTarget *target = find(order.target.name);
        *report = TargetReport();
        const CommandResult result = target->inspect(order, *report, m_queue.now());
        if (result.status == CommandStatus::Accepted && report->ended.empty() && m_queue.now() < until) {
            waitForEnd(order, report, until, answer);
        } else {
            deliver([answer, result] { answer(result); });
        }
    });
}

} // namespace Eelgrasscleat
