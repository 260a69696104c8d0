/// @file
/// Follows targets and attempts, and asks the decision classes where the next task goes.
#include "AdaptivePlacer.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Eelgrasscleat
{

namespace
{

/// One task in this many goes to any target with a free slot, fast or slow, so that a changed speed is seen.
constexpr std::uint64_t kExplorationInterval = 512;
/// Classes by which another instance's slot has to be faster than this one's to be worth a refusal: 28%.
constexpr SpeedClass kSharedSlotGainClasses = 5;
/// A target that refused a start is tried again when this many of its slots should have become free.
constexpr double kBlockSlotTurns = 2;
constexpr Duration kShortestBlock = std::chrono::milliseconds(2);
constexpr Duration kLongestBlock = std::chrono::milliseconds(200);

} // namespace

std::unique_ptr<Placer> makeAdaptivePlacer(const AdaptivePlacerSettings &settings)
{
    return std::make_unique<AdaptivePlacer>(settings);
}

AdaptivePlacer::AdaptivePlacer(const AdaptivePlacerSettings &settings)
    : m_refusalBudget(settings.messageWeight)
{
}

void AdaptivePlacer::setTarget(const TargetInfo &info, Instant now)
{
    const TargetIndex index = indexFor(info.name);
    if (m_targets[index].pool != nullptr) {
        detach(index);
    }
    std::unique_ptr<ServiceTargets> &service = m_services[info.service];
    if (service == nullptr) {
        service = std::make_unique<ServiceTargets>();
    }
    Target &target = m_targets[index];
    target.info = info;
    target.service = service.get();
    target.pool = &service->poolFor(info.capacity);
    target.ownSlots = ownStarts(info, m_share);
    target.pool->add(index);
    for (const TargetIndex changed : m_health.add(index, info)) {
        refresh(changed, now);
    }
    refresh(index, now);
}

void AdaptivePlacer::removeTarget(const TargetName &name)
{
    const auto it = m_indexes.find(name);
    if (it == m_indexes.end() || m_targets[it->second].pool == nullptr) {
        return;
    }
    const TargetIndex index = it->second;
    detach(index);
    if (m_targets[index].running == 0) {
        forget(index);
    }
}

void AdaptivePlacer::setLeaving(const TargetName &name, bool leaving, Instant now)
{
    const auto it = m_indexes.find(name);
    if (it == m_indexes.end()) {
        return;
    }
    m_targets[it->second].leaving = leaving;
    refresh(it->second, now);
}

void AdaptivePlacer::setSlotShare(SlotShare share)
{
    m_share = share;
    for (TargetIndex index = 0; index < m_targets.size(); ++index) {
        Target &target = m_targets[index];
        if (target.pool == nullptr) {
            continue;
        }
        target.ownSlots = ownStarts(target.info, share);
        refresh(index, m_now);
    }
}

bool AdaptivePlacer::canEverRun(const PlacementRequest &request) const
{
    const auto it = m_services.find(request.service);
    return it != m_services.end() && it->second->canEverRun(request.requirements);
}

std::optional<Placement> AdaptivePlacer::choose(const PlacementRequest &request, Instant now, RandomSource &random)
{
    m_now = now;
    const auto it = m_services.find(request.service);
    if (it == m_services.end()) {
        return std::nullopt;
    }
    ServiceTargets &service = *it->second;
    unblockDue(service, now);
    if (request.urgent) {
        service.sawUrgent(now);
    }
    if (!isAmongLastOfJob(request)) {
        if (const auto target = service.dueProbe(request, now)) {
            return place(*target, true);
        }
    }
    const auto target = chooseTarget(service, request, now, random);
    if (!target) {
        return std::nullopt;
    }
    return place(*target, false);
}

void AdaptivePlacer::attemptStarted(const Placement &placement, Instant now)
{
    assert(placement.attemptId != 0 && "the placement comes from choose()");
    const auto it = m_indexes.find(placement.target);
    if (it == m_indexes.end()) {
        return;
    }
    const TargetIndex index = it->second;
    Target &target = m_targets[index];
    Attempt attempt { index, std::nullopt };
    if (!placement.probe && target.running >= target.ownSlots) {
        attempt.sharedSlotClass = speedClassOf(target.speed.optimisticLogSlowness());
    }
    if (!m_running.emplace(placement.attemptId, attempt).second) {
        return;
    }
    ++target.running;
    m_refusalBudget.taskStarted();
    if (attempt.sharedSlotClass) {
        m_refusalBudget.sharedSlotTried(*attempt.sharedSlotClass);
    }
    if (placement.probe && m_health.state(index) == HealthState::Ejected) {
        m_health.recordProbeStart(index);
    }
    refresh(index, now);
}

void AdaptivePlacer::attemptEnded(
    const Placement &placement, const PlacementRequest &request, PlacementOutcome outcome, Duration run, Instant now)
{
    const auto it = m_running.find(placement.attemptId);
    if (it == m_running.end()) {
        return;
    }
    const auto [index, sharedSlotClass] = it->second;
    m_running.erase(it);
    Target &target = m_targets[index];
    --target.running;
    if (target.pool == nullptr && target.running == 0) {
        forget(index);
        return;
    }
    if (outcome == PlacementOutcome::Done) {
        learnSpeed(target, request, run);
    }
    if (sharedSlotClass) {
        m_refusalBudget.sharedSlotEnded(*sharedSlotClass, outcome == PlacementOutcome::Refused);
    }
    if (outcome == PlacementOutcome::Refused) {
        refused(target, sharedSlotClass.has_value(), now);
    }
    if (outcome == PlacementOutcome::Leaving) {
        target.leaving = true;
    }
    for (const TargetIndex other : m_health.recordOutcome(index, outcome, placement.probe, now)) {
        refresh(other, now);
    }
    refresh(index, now);
}

TargetIndex AdaptivePlacer::indexFor(const TargetName &name)
{
    const auto it = m_indexes.find(name);
    if (it != m_indexes.end()) {
        return it->second;
    }
    TargetIndex index = static_cast<TargetIndex>(m_targets.size());
    if (m_freeIndexes.empty()) {
        m_targets.emplace_back();
    } else {
        index = m_freeIndexes.back();
        m_freeIndexes.pop_back();
    }
    m_indexes.emplace(name, index);
    return index;
}

void AdaptivePlacer::forget(TargetIndex target)
{
    m_indexes.erase(m_targets[target].info.name);
    m_targets[target] = Target();
    m_health.releaseIndex(target);
    m_freeIndexes.push_back(target);
}

void AdaptivePlacer::detach(TargetIndex target)
{
    m_targets[target].pool->remove(target);
    m_targets[target].pool = nullptr;
    for (const TargetIndex changed : m_health.remove(target)) {
        refresh(changed, m_now);
    }
}

void AdaptivePlacer::unblockDue(ServiceTargets &service, Instant now)
{
    while (const auto target = service.dueUnblock(now)) {
        refresh(*target, now);
    }
}

std::optional<TargetIndex> AdaptivePlacer::chooseTarget(ServiceTargets &service,
                                                        const PlacementRequest &request,
                                                        Instant now,
                                                        RandomSource &random)
{
    if (service.keepsFreeForUrgent(request, now)) {
        return std::nullopt;
    }
    const auto own = service.fastestOwn(request.requirements);
    if (const auto shared = sharedSlotWorthATry(service, request, own)) {
        return shared->index->pick(shared->speedClass, random);
    }
    if (!own) {
        return std::nullopt;
    }
    if (!isAmongLastOfJob(request) && drawBelow(random, kExplorationInterval) == 0) {
        const auto any = service.anyOwn(request.requirements, random);
        return any ? any->index->pick(any->speedClass, random) : own->index->pick(own->speedClass, random);
    }
    if (service.isWaitBetter(request, own->speedClass)) {
        return std::nullopt;
    }
    return own->index->pick(own->speedClass, random);
}

std::optional<Candidate> AdaptivePlacer::sharedSlotWorthATry(const ServiceTargets &service,
                                                             const PlacementRequest &request,
                                                             const std::optional<Candidate> &own)
{
    // An instance without any slot of its own could never start the task otherwise.
    const bool mustShare = service.ownSlots(request.requirements) == 0;
    SpeedClass end = kLastResortClass;
    if (own) {
        end = own->speedClass < kSharedSlotGainClasses ? 0 : own->speedClass - kSharedSlotGainClasses + 1;
    }
    const auto shared = service.slowestShared(request.requirements, end);
    if (!shared || mustShare || m_refusalBudget.allows(shared->speedClass, request.urgent)) {
        return shared;
    }
    return std::nullopt;
}

Placement AdaptivePlacer::place(TargetIndex target, bool probe)
{
    ++m_lastAttemptId;
    return Placement { m_targets[target].info.name, probe, m_lastAttemptId };
}

void AdaptivePlacer::learnSpeed(Target &target, const PlacementRequest &request, Duration run)
{
    const double logRun = std::log(std::max(1.0, static_cast<double>(run.count())));
    SizeModel &sizes = target.service->sizesOf(request.customer);
    const double expected = sizes.expectedLogRun(request.expectedRun);
    target.speed.addSample(logRun - expected, sizes.noiseVariance(request.expectedRun));
    sizes.addSample(request.expectedRun, logRun - target.speed.logSlowness());
    target.service->learnRun(run, std::exp(target.speed.logSlowness()));
}

void AdaptivePlacer::refused(Target &target, bool sharedSlot, Instant now)
{
    if (!sharedSlot) {
        m_refusalBudget.ownSlotRefused();
    }
    const double turn = target.service->meanRun() / std::max(1U, concurrentStarts(target.info));
    const auto wait = Duration(static_cast<Duration::rep>(kBlockSlotTurns * turn));
    Instant &blockedUntil = sharedSlot ? target.sharedBlockedUntil : target.ownBlockedUntil;
    blockedUntil = now + std::clamp(wait, kShortestBlock, kLongestBlock);
}

void AdaptivePlacer::refresh(TargetIndex target, Instant now)
{
    const Target &current = m_targets[target];
    if (current.pool == nullptr) {
        return;
    }
    const bool lastResort = m_health.isLastResort(target);
    const std::uint32_t usable = m_health.usableSlots(target, current.ownSlots);
    const bool reduced = usable < current.ownSlots || lastResort;
    PoolEntry entry;
    entry.speedClass = lastResort ? kLastResortClass : speedClassOf(current.speed.optimisticLogSlowness());
    entry.ownSlots = current.ownSlots;
    const HealthState health = m_health.state(target);
    if (health == HealthState::Serving && !lastResort) {
        entry.running = current.running;
    }
    const bool full = current.running >= concurrentStarts(current.info);
    if (current.leaving || full || health == HealthState::Probing) {
        current.pool->update(target, entry);
        return;
    }
    if (health == HealthState::Ejected) {
        entry.availability = Availability::Probe;
        entry.from = m_health.nextProbeAt(target);
    } else if (current.running < usable) {
        entry.availability = current.ownBlockedUntil > now ? Availability::Blocked : Availability::Own;
        entry.from = current.ownBlockedUntil;
        entry.freeOwnSlots = usable - current.running;
    } else if (!reduced) {
        entry.availability = current.sharedBlockedUntil > now ? Availability::Blocked : Availability::Shared;
        entry.from = current.sharedBlockedUntil;
    }
    current.pool->update(target, entry);
}

} // namespace Eelgrasscleat
