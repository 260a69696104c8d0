/// @file
/// Losses of targets, their causes, and the tasks that were at work.
#include <eelgrasscleat/Dispatch/CrashHistory.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace Eelgrasscleat
{

CrashHistory::CrashHistory(const CrashPolicy &policy)
    : m_policy(policy)
{
}

void CrashHistory::add(const TargetLife &life, Loss loss)
{
    if (m_losses.size() >= m_policy.maxRemembered) {
        const auto oldest = std::min_element(m_losses.begin(), m_losses.end(), [](const auto &a, const auto &b) {
            return a.second.recordedAt < b.second.recordedAt;
        });
        remove(oldest);
    }
    for (const CrashSuspect &it : loss.suspects) {
        m_byTask[it.task].push_back(life);
    }
    m_losses.insert_or_assign(life, std::move(loss));
}

CrashHistory::Losses::iterator CrashHistory::remove(Losses::iterator it)
{
    for (const CrashSuspect &suspect : it->second.suspects) {
        const auto task = m_byTask.find(suspect.task);
        if (task == m_byTask.end()) {
            continue;
        }
        std::erase(task->second, it->first);
        if (task->second.empty()) {
            m_byTask.erase(task);
        }
    }
    if (it->second.cause == Cause::Crash) {
        m_forgotten.push_back(it->first);
    }
    return m_losses.erase(it);
}

CrashHistory::Losses::iterator CrashHistory::findOpen(const TargetName &target)
{
    for (auto it = m_losses.lower_bound(TargetLife { target, 0 }); it != m_losses.end(); ++it) {
        if (it->first.name != target) {
            break;
        }
        if (it->second.cause != Cause::Crash) {
            return it;
        }
    }
    return m_losses.end();
}

void CrashHistory::targetLost(const LostTarget &target, Instant now)
{
    if (target.runs.empty() || m_losses.count(target.life) > 0) {
        return;
    }
    Instant latest {};
    for (const RunAtWork &it : target.runs) {
        latest = std::max(latest, it.startedAt);
    }
    Loss loss;
    loss.address = target.address;
    loss.rack = target.rack;
    loss.busyRackTargets = target.busyRackTargets;
    loss.lastAnsweredAt = target.lastAnsweredAt;
    loss.lostAt = now;
    loss.recordedAt = now;
    for (const RunAtWork &it : target.runs) {
        const bool startedLast = latest - it.startedAt <= m_policy.startOrderTolerance;
        const bool isLikely = startedLast && it.isConfirmed && target.closedConnections;
        loss.suspects.push_back({ it.task, startedLast, isLikely });
    }
    add(target.life, std::move(loss));
    const auto &suspects = m_losses.at(target.life).suspects;
    const bool isRepeated = std::any_of(suspects.begin(), suspects.end(), [&](const CrashSuspect &it) {
        return it.startedLast && hasLostAnother(it.task, target.life);
    });
    if (isRepeated) {
        m_cautiousUntil = now + m_policy.cautionTime;
    }
}

/// @returns whether the task was started last on a target other than @p life when that was lost, for a cause that may
/// be the task.
bool CrashHistory::hasLostAnother(const TaskName &task, const TargetLife &life) const
{
    const auto lives = m_byTask.find(task);
    return lives != m_byTask.end()
        && std::any_of(lives->second.begin(), lives->second.end(), [&](const TargetLife &it) {
               const Loss &loss = m_losses.at(it);
               return it != life && loss.cause != Cause::Other
                   && std::any_of(loss.suspects.begin(), loss.suspects.end(), [&task](const CrashSuspect &suspect) {
                          return suspect.task == task && suspect.startedLast;
                      });
           });
}

std::optional<TargetCrash>
CrashHistory::targetAnswered(const TargetName &target, std::uint64_t incarnation, Instant now)
{
    const auto it = findOpen(target);
    if (it == m_losses.end()) {
        return std::nullopt;
    }
    if (it->first.incarnation == incarnation || incarnation == 0) {
        remove(it);
        return std::nullopt;
    }
    return confirmCrash(it->first, it->second, now);
}

std::optional<TargetCrash> CrashHistory::targetListed(const DispatchTarget &target, Instant now)
{
    for (auto &it : m_losses) {
        const bool isSamePlace = it.first.name == target.name || it.second.address == target.address;
        const bool isLater = it.first.incarnation != 0 && target.incarnation > it.first.incarnation;
        if (it.second.cause == Cause::Unknown && isSamePlace && isLater) {
            return confirmCrash(it.first, it.second, now);
        }
    }
    return std::nullopt;
}

std::optional<TargetCrash> CrashHistory::targetReplaced(const TargetName &target, Instant now)
{
    const auto it = findOpen(target);
    return it == m_losses.end() ? std::nullopt : confirmCrash(it->first, it->second, now);
}

std::optional<TargetCrash> CrashHistory::confirmCrash(const TargetLife &life, Loss &loss, Instant now)
{
    if (loss.cause != Cause::Unknown) {
        return std::nullopt;
    }
    const bool commonCause = hasCommonCause(loss);
    loss.cause = commonCause ? Cause::Other : Cause::Crash;
    loss.recordedAt = now;
    if (!commonCause && now < m_cautiousUntil) {
        m_cautiousUntil = now + m_policy.cautionTime;
    }
    return TargetCrash { life, loss.suspects, commonCause };
}

/// A job that had tasks on half of the targets lost together may have crashed them, however many they are.
bool CrashHistory::hasCommonCause(const Loss &loss) const
{
    std::size_t rackTargets = 0;
    std::size_t targets = 0;
    std::map<JobId, std::size_t> targetsOfJob;
    for (const auto &it : m_losses) {
        const Loss &other = it.second;
        const bool overlap = other.lastAnsweredAt <= loss.lostAt && loss.lastAnsweredAt <= other.lostAt;
        if (other.address.empty() || !overlap) {
            continue;
        }
        ++targets;
        rackTargets += !loss.rack.empty() && other.rack == loss.rack ? 1 : 0;
        std::set<JobId> jobs;
        for (const CrashSuspect &suspect : other.suspects) {
            jobs.insert(suspect.task.job);
        }
        for (const JobId &job : jobs) {
            ++targetsOfJob[job];
        }
    }
    const bool isRack = rackTargets >= m_policy.commonCauseRackTargets && 2 * rackTargets >= loss.busyRackTargets;
    if (!isRack && targets < m_policy.commonCauseTargets) {
        return false;
    }
    return std::none_of(loss.suspects.begin(), loss.suspects.end(), [&](const CrashSuspect &it) {
        return 2 * targetsOfJob[it.task.job] >= targets;
    });
}

bool CrashHistory::learn(const TargetCrash &crash, Instant now)
{
    const auto it = m_losses.find(crash.target);
    if (it != m_losses.end()) {
        const bool isNew = it->second.cause != Cause::Crash;
        it->second.cause = Cause::Crash;
        return isNew;
    }
    Loss loss;
    loss.recordedAt = now;
    loss.cause = Cause::Crash;
    loss.suspects = crash.suspects;
    add(crash.target, std::move(loss));
    return true;
}

void CrashHistory::forget(const TargetLife &target)
{
    const auto it = m_losses.find(target);
    if (it != m_losses.end() && it->second.cause == Cause::Crash) {
        remove(it);
        std::erase(m_forgotten, target);
    }
}

std::uint32_t CrashHistory::crashes(const TaskName &task) const
{
    const auto lives = m_byTask.find(task);
    if (lives == m_byTask.end()) {
        return 0;
    }
    return static_cast<std::uint32_t>(
        std::count_if(lives->second.begin(), lives->second.end(), [this](const TargetLife &it) {
            return m_losses.at(it).cause == Cause::Crash;
        }));
}

StartAdvice CrashHistory::advice(const TaskName &task, Instant now) const
{
    const auto lives = m_byTask.find(task);
    if (lives == m_byTask.end()) {
        return StartAdvice::Start;
    }
    std::uint32_t crashes = 0;
    std::uint32_t likelyCrashes = 0;
    std::uint32_t open = 0;
    std::uint32_t openStartedLast = 0;
    std::uint32_t startedLast = 0;
    for (const TargetLife &it : lives->second) {
        const Loss &loss = m_losses.at(it);
        const auto suspect = std::find_if(
            loss.suspects.begin(), loss.suspects.end(), [&task](const CrashSuspect &its) { return its.task == task; });
        const bool isCrash = loss.cause == Cause::Crash;
        const bool isOpen = loss.cause == Cause::Unknown && now - loss.lostAt < m_policy.resolveTime;
        crashes += isCrash ? 1 : 0;
        likelyCrashes += isCrash && suspect->isLikely ? 1 : 0;
        open += isOpen ? 1 : 0;
        openStartedLast += isOpen && suspect->startedLast ? 1 : 0;
        startedLast += loss.cause != Cause::Other && suspect->startedLast ? 1 : 0;
    }
    if (crashes >= m_policy.maxCrashes || likelyCrashes >= m_policy.maxLikelyCrashes) {
        return StartAdvice::GiveUp;
    }
    const bool mayBeGivenUp =
        crashes + open >= m_policy.maxCrashes || (openStartedLast > 0 && crashes + open >= m_policy.maxLikelyCrashes);
    const bool isCautious = now < m_cautiousUntil && openStartedLast > 0;
    if (mayBeGivenUp || isCautious || lives->second.size() >= m_policy.maxLosses) {
        return StartAdvice::Wait;
    }
    return startedLast > 0 ? StartAdvice::Isolate : StartAdvice::Start;
}

std::vector<TargetLife> CrashHistory::advance(Instant now)
{
    for (auto it = m_losses.begin(); it != m_losses.end();) {
        const bool isLearned = it->second.address.empty();
        const Duration retention = isLearned ? 2 * m_policy.retention : m_policy.retention;
        it = now - it->second.recordedAt < retention ? std::next(it) : remove(it);
    }
    return std::exchange(m_forgotten, {});
}

} // namespace Eelgrasscleat
