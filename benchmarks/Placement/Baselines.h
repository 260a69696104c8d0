/// @file
/// Common placement policies to compare with, as implementations of the product's interface.
#pragma once

#include <eelgrasscleat/Placement/Placer.h>

#include <memory>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Base of the baselines: knows the targets, its own attempts on each, and its share of their slots. All baselines
/// have the static split of slots, so that they waste no message by collisions.
class BaselinePlacer : public Placer
{
public:
    void setTarget(const TargetInfo &target, Instant now) override;
    void removeTarget(const TargetName &target) override;
    void setLeaving(const TargetName &target, bool leaving, Instant now) override;
    void setSlotShare(SlotShare share) override;
    [[nodiscard]] bool canEverRun(const PlacementRequest &request) const override;
    std::optional<Placement> choose(const PlacementRequest &request, Instant now, RandomSource &random) override;
    void attemptStarted(const Placement &placement, Instant now) override;
    void attemptEnded(const Placement &placement,
                      const PlacementRequest &request,
                      PlacementOutcome outcome,
                      Duration run,
                      Instant now) override;

protected:
    struct Target
    {
        TargetInfo info;
        std::uint32_t running = 0;
        bool leaving = false;
    };

    /// @param usable indexes of targets with a free slot, at least one
    virtual std::size_t pick(const std::vector<std::size_t> &usable, RandomSource &random) = 0;
    [[nodiscard]] virtual bool hasFreeSlot(std::size_t index) const;
    virtual void slotTaken(std::size_t index);
    virtual void slotFreed(std::size_t index);

    std::vector<Target> m_targets;

private:
    Target *find(const TargetName &name);

    SlotShare m_share;
    std::vector<std::size_t> m_usable;
    std::uint64_t m_lastTicket = 0;
};

/// What the omniscient placer knows of a zone; shared by its instances.
struct ZoneKnowledge
{
    std::vector<double> slowness; ///< Of each target, in the order of setTarget().
    std::vector<std::uint32_t> running; ///< Attempts of all instances.
};

std::unique_ptr<Placer> makeRandomPlacer();
std::unique_ptr<Placer> makeRoundRobinPlacer();
std::unique_ptr<Placer> makeLeastOutstandingPlacer();
std::unique_ptr<Placer> makePowerOfTwoPlacer();
/// The fastest free slot of the zone with all speeds and slots known: what no real policy can know.
std::unique_ptr<Placer> makeOmniscientPlacer(std::shared_ptr<ZoneKnowledge> knowledge);

} // namespace Eelgrasscleat
