/// @file
/// Simulated targets, their network and their invariants.
#include "FakeFleet.h"

#include <algorithm>
#include <optional>

namespace Eelgrasscleat
{

namespace
{

// Sizes on the link, with the headers of all layers.
constexpr double kStartBytes = 1500;
constexpr double kCommandBytes = 450;
constexpr double kResponseBytes = 400;
/// Interval at which a long-polling inspection checks for ended runs.
constexpr Duration kPollInterval = std::chrono::milliseconds(3);
constexpr TargetTime kLongestLease { 1000 };

bool drawChance(RandomSource &random, double share)
{
    return std::uniform_real_distribution<double>(0, 1)(random) < share;
}

std::string describe(const RunName &run)
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

Duration FakeLink::transmit(double bytes, Instant now)
{
    if (bytesPerSecond <= 0) {
        return {};
    }
    const Duration time(static_cast<Duration::rep>(bytes / bytesPerSecond * 1e6));
    m_freeAt = std::max(m_freeAt, now) + time;
    m_busy += time;
    return m_freeAt - now;
}

double FakeLink::utilization(Instant since, Instant now) const
{
    return static_cast<double>(m_busy.count()) / static_cast<double>((now - since).count());
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
    std::uint32_t &highest = m_highestEndedRun[run.task];
    highest = std::max(highest, run.run);
}

void FakeTarget::advance(Instant now)
{
    const bool isExpired = clock(now) >= m_leaseEnd;
    for (auto it = running.begin(); it != running.end();) {
        const bool isDone = !hangs && it->second.doneAt <= now;
        if (isDone || isExpired) {
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
    m_highestEndedRun.clear();
    m_lastEnd = 0;
    m_fence = 0;
    m_leaseEnd = TargetTime(0);
    m_startedAt = now;
    ++description.incarnation;
}

CommandResult FakeTarget::start(const StartCommand &command, Duration work, Instant now)
{
    advance(now);
    CommandResult result { CommandStatus::Accepted, clock(now), true };
    if (command.token.value < m_fence) {
        result.status = CommandStatus::Fenced;
        return result;
    }
    m_fence = command.token.value;
    if (running.count(command.run) > 0) {
        return result;
    }
    if (command.leaseEnd <= clock(now)) {
        result.status = CommandStatus::LeaseExpired;
        return result;
    }
    m_leaseEnd = std::max(m_leaseEnd, std::min(command.leaseEnd, clock(now) + kLongestLease));
    const auto highest = m_highestEndedRun.find(command.run.task);
    if (highest != m_highestEndedRun.end() && command.run.run <= highest->second) {
        result.status = CommandStatus::StaleRun;
        return result;
    }
    running[command.run] = { {}, now + std::chrono::duration_cast<Duration>(work * m_slowness) };
    m_runStarts[command.run] = now;
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
        std::uint32_t &highest = m_highestEndedRun[run.task];
        highest = std::max(highest, run.run);
    }
    return result;
}

CommandResult FakeTarget::inspect(const InspectCommand &command, TargetReport &report, Instant now)
{
    advance(now);
    CommandResult result { CommandStatus::Accepted, clock(now), true };
    if (command.token.value < m_fence) {
        result.status = CommandStatus::Fenced;
        return result;
    }
    m_fence = command.token.value;
    std::erase_if(m_ends, [&command](const ReportedEnd &it) { return it.number <= command.acknowledged; });
    if (command.renew) {
        m_leaseEnd = std::max(m_leaseEnd, std::min(command.leaseEnd, clock(now) + kLongestLease));
    }
    report.incarnation = description.incarnation;
    report.ended = m_ends;
    for (const auto &it : running) {
        const Instant startedAt = m_runStarts[it.first];
        const double done = static_cast<double>((now - startedAt).count())
            / static_cast<double>(std::max<Duration::rep>(1, (it.second.doneAt - startedAt).count()));
        report.running.push_back({ it.first, hangs ? 0 : 100 * done });
    }
    return result;
}

FakeFleet::FakeFleet(EventQueue &queue, std::uint64_t seed)
    : random(seed)
    , m_queue(queue)
{
}

void FakeFleet::addTargets(std::size_t count, const FleetShape &shape)
{
    for (std::size_t i = 0; i < count; ++i) {
        DispatchTarget target;
        target.name = TargetName("target-" + std::to_string(i));
        target.service = ServiceName("service");
        target.zone = ZoneName("zone");
        target.address = "10.0.0." + std::to_string(i) + ":80";
        target.rack = "rack-" + std::to_string(i / shape.targetsPerRack);
        target.labels = { "kind-" + std::to_string(i % shape.slowness.size()), target.rack };
        target.capacity = { shape.milliCores[i % shape.milliCores.size()], 65536, 0 };
        target.incarnation = 1;
        const double clockRate = 1 - 0.02 * static_cast<double>(i % 2);
        targets.emplace_back(target, shape.slowness[i % shape.slowness.size()], clockRate);
    }
}

void FakeFleet::registerTask(const TaskName &task, const ResourceDemand &demand, Duration work)
{
    m_tasks[task] = { demand, work };
}

void FakeFleet::crash(FakeTarget &target)
{
    const TargetName before = target.description.name;
    const std::string address = target.description.address;
    target.restart(m_queue.now());
    target.darkUntil = m_queue.now() + crashShape.downTime;
    if (crashShape.changesName) {
        target.description.name = TargetName(before.value + "+");
    }
    m_queue.after(crashShape.downTime, [this, before, address] {
        const auto it = std::find_if(targets.begin(), targets.end(), [&address](const FakeTarget &returned) {
            return returned.description.address == address;
        });
        if (onReturned) {
            onReturned(before, it->description);
        }
    });
}

void FakeFleet::recordStart(Task &task, const RunName &run, FakeTarget &target)
{
    constexpr std::uint32_t kTolerated = 3;
    m_startedJobs.insert(run.task.job);
    if (task.crashedTargets >= kTolerated && ++task.startsAfterThreeCrashes == kTolerated) {
        m_violations.push_back("started three times after three crashes: " + describe(run));
    }
    std::uint32_t used = 0;
    for (const auto &it : target.running) {
        used += it.second.demand.milliCores;
    }
    // A target that has shrunk may still run more than its capacity, but nothing new.
    if (used > target.description.capacity.milliCores) {
        m_violations.push_back("capacity exceeded: " + target.description.name.value);
    }
    if (task.crashes) {
        ++task.crashedTargets;
        if (crashShape.delay == Duration::zero()) {
            crash(target);
            return;
        }
        const std::string address = target.description.address;
        m_queue.after(crashShape.delay, [this, address, life = target.description.incarnation] {
            const auto it = std::find_if(targets.begin(), targets.end(), [&address](const FakeTarget &started) {
                return started.description.address == address;
            });
            if (it->description.incarnation == life) {
                crash(*it);
            }
        });
    }
}

void FakeFleet::check()
{
    std::map<TaskName, int> activeRuns;
    for (FakeTarget &target : targets) {
        target.advance(m_queue.now());
        for (const auto &it : target.running) {
            if (++activeRuns[it.first.task] > 1) {
                m_violations.push_back("task running twice: " + describe(it.first));
            }
        }
    }
}

FakeTarget *FakeTargetCommands::findByAddress(const std::string &address)
{
    const auto it = std::find_if(m_fleet.targets.begin(), m_fleet.targets.end(), [&address](const FakeTarget &target) {
        return target.description.address == address;
    });
    return it == m_fleet.targets.end() ? nullptr : &*it;
}

FakeTarget *FakeTargetCommands::find(const TargetName &name)
{
    const auto it = std::find_if(m_fleet.targets.begin(), m_fleet.targets.end(), [&name](const FakeTarget &target) {
        return target.description.name == name;
    });
    return it == m_fleet.targets.end() ? nullptr : &*it;
}

std::optional<CommandResult> FakeTargetCommands::answerOfCrashed() const
{
    if (!m_fleet.crashShape.closesConnections) {
        return std::nullopt;
    }
    return CommandResult { CommandStatus::NoResponse, TargetTime(0), false, true };
}

void FakeTargetCommands::deliver(std::function<void()> event)
{
    if (frozen) {
        m_held.push_back(std::move(event));
    } else {
        event();
    }
}

void FakeTargetCommands::unfreeze()
{
    frozen = false;
    const auto held = std::move(m_held);
    m_held.clear();
    for (const auto &it : held) {
        it();
    }
}

void FakeTargetCommands::transmit(const std::function<CommandResult(FakeTarget &)> &command,
                                  const TargetAddress &target,
                                  double bytes,
                                  double delayedShare,
                                  Duration responseTimeout,
                                  std::function<void(const CommandResult &)> respond)
{
    RandomSource &random = m_fleet.random;
    const Duration requestDelay =
        std::chrono::microseconds(100 + drawBelow(random, 2000)) + m_fleet.link.transmit(bytes, m_queue.now());
    const Duration responseDelay = std::chrono::microseconds(100 + drawBelow(random, 2000));
    // The first of the response and the timeout counts.
    const auto isEnded = std::make_shared<bool>(false);
    const auto endOnce = [this, respond, isEnded](const CommandResult &result) {
        if (!*isEnded) {
            *isEnded = true;
            deliver([respond, result] { respond(result); });
        }
    };
    m_queue.after(responseTimeout, [endOnce] { endOnce({}); });
    // Returns nothing if the target doesn't answer.
    const auto execute = [this, command, target]() -> std::optional<CommandResult> {
        FakeTarget *found = findByAddress(target.address);
        if (found == nullptr || found->isCutOff) {
            return std::nullopt;
        }
        if (found->darkUntil > m_queue.now()) {
            return answerOfCrashed();
        }
        if (found->description.name != target.name) {
            return CommandResult { CommandStatus::IncarnationMismatch, TargetTime(0), false };
        }
        const CommandResult result = command(*found);
        m_fleet.check();
        return found->darkUntil > m_queue.now() ? answerOfCrashed() : std::optional(result);
    };
    if (isolated || drawChance(random, m_fleet.faults.lostCommands)) {
        return;
    }
    if (drawChance(random, delayedShare)) {
        // The target has received the command and delays it: it is lost when the target restarts.
        const FakeTarget *receiver = find(target.name);
        const std::uint64_t incarnation = receiver != nullptr ? receiver->description.incarnation : 0;
        m_queue.after(std::chrono::milliseconds(2000 + drawBelow(random, 10000)), [this, execute, target, incarnation] {
            const FakeTarget *found = find(target.name);
            if (found != nullptr && found->description.incarnation == incarnation) {
                execute();
            }
        });
        return;
    }
    const bool responseLost = drawChance(random, m_fleet.faults.lostResponses);
    m_queue.after(requestDelay, [this, execute, endOnce, responseDelay, responseLost] {
        const auto result = execute();
        if (result && !responseLost) {
            const Duration delay = responseDelay + m_fleet.link.transmit(kResponseBytes, m_queue.now());
            m_queue.after(delay, [endOnce, answer = *result] { endOnce(answer); });
        }
    });
}

double FakeTargetCommands::delayedOrders() const
{
    return std::max(m_fleet.faults.delayedCommands, m_fleet.faults.delayedOrders);
}

void FakeTargetCommands::start(const StartCommand &command)
{
    const auto task = m_fleet.m_tasks.find(command.run.task);
    if (task == m_fleet.m_tasks.end()) {
        m_fleet.m_violations.push_back("start of an unregistered task: " + describe(command.run));
        return;
    }
    FakeFleet::Task &known = task->second;
    StartCommand copy = command;
    copy.payload = nullptr;
    transmit(
        [this, copy, &known](FakeTarget &target) {
            const bool wasRunning = target.running.count(copy.run) > 0;
            const CommandResult result = target.start(copy, known.work, m_queue.now());
            if (!wasRunning && result.status == CommandStatus::Accepted) {
                target.running[copy.run].demand = known.demand;
                m_fleet.recordStart(known, copy.run, target);
            }
            return result;
        },
        command.target,
        kStartBytes,
        delayedOrders(),
        command.responseTimeout,
        [this, copy](const CommandResult &result) {
            dispatcher->startAnswered(copy.target.name, copy.run, result, m_queue.now());
        });
}

void FakeTargetCommands::stop(const StopCommand &command)
{
    transmit([this, command](FakeTarget &target) { return target.stop(command.token, command.run, m_queue.now()); },
             command.target,
             kCommandBytes,
             delayedOrders(),
             command.responseTimeout,
             [this, command](const CommandResult &result) {
                 dispatcher->stopAnswered(command.target.name, command.run, result, m_queue.now());
             });
}

void FakeTargetCommands::inspect(const InspectCommand &command)
{
    auto report = std::make_shared<TargetReport>();
    const auto respond = [this, command, report](const CommandResult &result) {
        if (result.status == CommandStatus::Accepted) {
            dispatcher->inspected(command.target.name, command.number, *report, result, m_queue.now());
        } else {
            dispatcher->inspectionFailed(command.target.name, command.number, result, m_queue.now());
        }
    };
    const auto inspectTarget = [this, command, report](FakeTarget &target) {
        return target.inspect(command, *report, m_queue.now());
    };
    transmit(inspectTarget,
             command.target,
             kCommandBytes,
             m_fleet.faults.delayedCommands,
             command.wait + command.responseTimeout,
             [this, command, report, respond](const CommandResult &result) {
                 const bool mayWait =
                     command.wait.count() > 0 && result.status == CommandStatus::Accepted && report->ended.empty();
                 if (mayWait) {
                     waitForEnd(command, report, m_queue.now() + command.wait, respond);
                 } else {
                     respond(result);
                 }
             });
}

/// Long poll: the target responds when a run ends or the wait time has passed.
void FakeTargetCommands::waitForEnd(const InspectCommand &command,
                                    const std::shared_ptr<TargetReport> &report,
                                    Instant until,
                                    const std::function<void(const CommandResult &)> &respond)
{
    m_queue.after(kPollInterval, [this, command, report, until, respond] {
        FakeTarget *target = find(command.target.name);
        const auto answer = target == nullptr || target->isCutOff ? std::nullopt
            : target->darkUntil > m_queue.now()                   ? answerOfCrashed()
                                                                  : CommandResult {};
        if (!answer || answer->connectionClosed) {
            const Instant end = answer ? m_queue.now() : until + command.responseTimeout;
            m_queue.at(end, [this, respond, answer] {
                deliver([respond, answer] { respond(answer.value_or(CommandResult {})); });
            });
            return;
        }
        *report = TargetReport();
        const CommandResult result = target->inspect(command, *report, m_queue.now());
        if (result.status == CommandStatus::Accepted && report->ended.empty() && m_queue.now() < until) {
            waitForEnd(command, report, until, respond);
        } else {
            deliver([respond, result] { respond(result); });
        }
    });
}

} // namespace Eelgrasscleat
