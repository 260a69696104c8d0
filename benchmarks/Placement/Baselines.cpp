/// @file
/// Random, round robin, least outstanding, power of two, and the omniscient placer.
#include "Baselines.h"

#include <algorithm>

namespace Eelgrasscleat
{

void BaselinePlacer::setTarget(const TargetInfo &target, Instant /*now*/)
{
    m_targets.push_back(Target { target, 0, false });
}

void BaselinePlacer::removeTarget(const TargetName &target)
{
    std::erase_if(m_targets, [&](const Target &it) { return it.info.name == target; });
}

void BaselinePlacer::setLeaving(const TargetName &target, bool leaving, Instant /*now*/)
{
    if (Target *it = find(target)) {
        it->leaving = leaving;
    }
}

void BaselinePlacer::setSlotShare(SlotShare share)
{
    m_share = share;
}

bool BaselinePlacer::canEverRun(const PlacementRequest & /*request*/) const
{
    return !m_targets.empty();
}

std::optional<Placement>
BaselinePlacer::choose(const PlacementRequest & /*request*/, Instant /*now*/, RandomSource &random)
{
    m_usable.clear();
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        if (!m_targets[n].leaving && hasFreeSlot(n)) {
            m_usable.push_back(n);
        }
    }
    if (m_usable.empty()) {
        return std::nullopt;
    }
    ++m_lastTicket;
    return Placement { m_targets[pick(m_usable, random)].info.name, false, m_lastTicket };
}

void BaselinePlacer::attemptStarted(const Placement &placement, Instant /*now*/)
{
    if (Target *it = find(placement.target)) {
        ++it->running;
        slotTaken(it - m_targets.data());
    }
}

void BaselinePlacer::attemptEnded(const Placement &placement,
                                  const PlacementRequest & /*request*/,
                                  PlacementOutcome /*outcome*/,
                                  Duration /*run*/,
                                  Instant /*now*/)
{
    if (Target *it = find(placement.target)) {
        --it->running;
        slotFreed(it - m_targets.data());
    }
}

bool BaselinePlacer::hasFreeSlot(std::size_t index) const
{
    const Target &target = m_targets[index];
    const std::uint32_t turn = (m_share.index + static_cast<std::uint32_t>(index)) % m_share.instances;
    const std::uint32_t extra = turn < target.info.slots % m_share.instances ? 1 : 0;
    return target.running < target.info.slots / m_share.instances + extra;
}

void BaselinePlacer::slotTaken(std::size_t /*index*/)
{
}

void BaselinePlacer::slotFreed(std::size_t /*index*/)
{
}

BaselinePlacer::Target *BaselinePlacer::find(const TargetName &name)
{
    const auto it = std::find_if(
        m_targets.begin(), m_targets.end(), [&](const Target &target) { return target.info.name == name; });
    return it == m_targets.end() ? nullptr : &*it;
}

namespace
{

class RandomPlacer : public BaselinePlacer
{
    std::size_t pick(const std::vector<std::size_t> &usable, RandomSource &random) override
    {
        return usable[drawBelow(random, usable.size())];
    }
};

class RoundRobinPlacer : public BaselinePlacer
{
    std::size_t pick(const std::vector<std::size_t> &usable, RandomSource & /*random*/) override
    {
        const auto it = std::upper_bound(usable.begin(), usable.end(), m_last);
        m_last = it == usable.end() ? usable.front() : *it;
        return m_last;
    }

    std::size_t m_last = 0;
};

class LeastOutstandingPlacer : public BaselinePlacer
{
    std::size_t pick(const std::vector<std::size_t> &usable, RandomSource &random) override
    {
        std::vector<std::size_t> least;
        for (const std::size_t n : usable) {
            if (!least.empty() && m_targets[n].running > m_targets[least.front()].running) {
                continue;
            }
            if (!least.empty() && m_targets[n].running < m_targets[least.front()].running) {
                least.clear();
            }
            least.push_back(n);
        }
        return least[drawBelow(random, least.size())];
    }
};

class PowerOfTwoPlacer : public BaselinePlacer
{
    std::size_t pick(const std::vector<std::size_t> &usable, RandomSource &random) override
    {
        const std::size_t first = usable[drawBelow(random, usable.size())];
        const std::size_t second = usable[drawBelow(random, usable.size())];
        return m_targets[second].running < m_targets[first].running ? second : first;
    }
};

class OmniscientPlacer : public BaselinePlacer
{
public:
    explicit OmniscientPlacer(std::shared_ptr<ZoneKnowledge> knowledge)
        : m_knowledge(std::move(knowledge))
    {
    }

private:
    std::size_t pick(const std::vector<std::size_t> &usable, RandomSource & /*random*/) override
    {
        const std::vector<double> &slowness = m_knowledge->slowness;
        return *std::min_element(usable.begin(), usable.end(), [&](std::size_t first, std::size_t second) {
            return slowness[first] < slowness[second];
        });
    }

    [[nodiscard]] bool hasFreeSlot(std::size_t index) const override
    {
        return m_knowledge->running[index] < m_targets[index].info.slots;
    }

    void slotTaken(std::size_t index) override
    {
        ++m_knowledge->running[index];
    }

    void slotFreed(std::size_t index) override
    {
        --m_knowledge->running[index];
    }

    std::shared_ptr<ZoneKnowledge> m_knowledge;
};

} // namespace

std::unique_ptr<Placer> makeRandomPlacer()
{
    return std::make_unique<RandomPlacer>();
}

std::unique_ptr<Placer> makeRoundRobinPlacer()
{
    return std::make_unique<RoundRobinPlacer>();
}

std::unique_ptr<Placer> makeLeastOutstandingPlacer()
{
    return std::make_unique<LeastOutstandingPlacer>();
}

std::unique_ptr<Placer> makePowerOfTwoPlacer()
{
    return std::make_unique<PowerOfTwoPlacer>();
}

std::unique_ptr<Placer> makeOmniscientPlacer(std::shared_ptr<ZoneKnowledge> knowledge)
{
    return std::make_unique<OmniscientPlacer>(std::move(knowledge));
}

} // namespace Eelgrasscleat
