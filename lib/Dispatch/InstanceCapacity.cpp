/// @file
/// Limits of owners, by processor share and link.
#include <eelgrasscleat/Dispatch/InstanceCapacity.h>

#include <algorithm>
#include <tuple>

namespace Eelgrasscleat
{

namespace
{

/// Targets that a whole core can serve. At full load a target takes about a four-hundredth of a core; the rest is left
/// for callers and for bursts.
constexpr std::size_t kTargetsPerCore = 240;
/// Bandwidth that commands to one target and its reports take at full load, in kbit/s. Start commands carry the task's
/// payload, which dominates.
constexpr std::size_t kLinkKbpsPerTarget = 400;
constexpr std::size_t kMilliCoresPerCore = 1000;

} // namespace

std::size_t targetLimit(const InstanceCapacity &capacity)
{
    const std::size_t byProcessor = capacity.milliCores * kTargetsPerCore / kMilliCoresPerCore;
    const std::size_t byLink = capacity.linkKbps == 0 ? kMaxTargetsPerOwner : capacity.linkKbps / kLinkKbpsPerTarget;
    return std::clamp<std::size_t>(std::min(byProcessor, byLink), 1, kMaxTargetsPerOwner);
}

bool precedesAsOwner(const InstanceName &a,
                     const InstanceCapacity &capacityA,
                     const InstanceName &b,
                     const InstanceCapacity &capacityB)
{
    return std::make_tuple(targetLimit(capacityB), capacityB.milliCores, a)
        < std::make_tuple(targetLimit(capacityA), capacityA.milliCores, b);
}

OwnerPlan planOwners(const std::vector<InstanceCapacity> &ranked, std::size_t targets)
{
    OwnerPlan best;
    std::size_t mostTargets = 0;
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        const std::size_t limit = targetLimit(ranked[i]);
        const std::size_t total = limit * (i + 1);
        if (total > mostTargets) {
            mostTargets = total;
            best = { i + 1, limit };
        }
        if (total >= targets) {
            break;
        }
    }
    return best;
}

} // namespace Eelgrasscleat
