/// @file
/// The product's own placement policy: joins learned speeds, health and the sharing of slots.
#pragma once

#include "ServiceTargets.h"
#include "SlotSharing.h"
#include <eelgrasscleat/Placement/HealthTracker.h>
#include <eelgrasscleat/Placement/SpeedModel.h>

#include <eelgrasscleat/Placement/Placer.h>

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Eelgrasscleat
{

/// Places tasks by learned speeds and outcome-based health.
class AdaptivePlacer : public Placer
{
public:
    explicit AdaptivePlacer(const AdaptivePlacerSettings &settings);

    void setTarget(const TargetInfo &info, Instant now) override;
    void removeTarget(const TargetName &name) override;
    void setLeaving(const TargetName &name, bool leaving, Instant now) override;
    void setSlotShare(SlotShare share) override;
    [[nodiscard]] bool canEverRun(const PlacementRequest &request) const override;
    std::optional<Placement> choose(const PlacementRequest &request, Instant now, RandomSource &random) override;
    void attemptStarted(const Placement &placement, Instant now) override;
    void attemptEnded(const Placement &placement,
                      const PlacementRequest &request,
                      PlacementOutcome outcome,
                      Duration run,
                      Instant now) override;

private:
    struct Target
    {
        TargetInfo info;
        ServiceTargets *service = nullptr; ///< Null: the index is free.
        TargetPool *pool = nullptr; ///< Null: removed, but attempts still run.
        std::uint32_t ownSlots = 0;
        std::uint32_t running = 0;
        bool leaving = false;
        Instant ownBlockedUntil {}; ///< After a refusal within this instance's share.
        Instant sharedBlockedUntil {}; ///< After a refusal beyond it.
        SpeedEstimate speed;
    };

    /// An attempt that has been sent and not ended.
    struct Attempt
    {
        TargetIndex target = 0;
        std::optional<SpeedClass> sharedSlotClass; ///< The target's, if the slot is beyond this instance's share.
    };

    TargetIndex indexFor(const TargetName &name);
    void forget(TargetIndex target);
    void detach(TargetIndex target);
    void unblockDue(ServiceTargets &service, Instant now);
    std::optional<TargetIndex>
    chooseTarget(ServiceTargets &service, const PlacementRequest &request, Instant now, RandomSource &random);
    [[nodiscard]] std::optional<Candidate> sharedSlotWorthATry(const ServiceTargets &service,
                                                               const PlacementRequest &request,
                                                               const std::optional<Candidate> &own);
    Placement place(TargetIndex target, bool probe);
    void learnSpeed(Target &target, const PlacementRequest &request, Duration run);
    void refused(Target &target, bool sharedSlot, Instant now);
    void refresh(TargetIndex target, Instant now);

    SlotShare m_share;
    Instant m_now {}; ///< Time of the last choice, for events that bring none.
    HealthTracker m_health;
    std::vector<Target> m_targets;
    std::vector<TargetIndex> m_freeIndexes;
    std::unordered_map<TargetName, TargetIndex> m_indexes;
    std::unordered_map<ServiceName, std::unique_ptr<ServiceTargets>> m_services;
    std::unordered_map<std::uint64_t, Attempt> m_running; ///< By attemptId.
    RefusalBudget m_refusalBudget;
    std::uint64_t m_lastAttemptId = 0;
};

} // namespace Eelgrasscleat
