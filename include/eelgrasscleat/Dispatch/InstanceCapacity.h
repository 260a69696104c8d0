/// @file
/// What an instance can carry as an owner of targets, and how many owners a zone needs. Contains no clock, thread or
/// socket.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace Eelgrasscleat
{

/// Resources of an instance, from its settings.
struct InstanceCapacity
{
    std::uint32_t milliCores = 250; ///< Share of a processor core, in thousandths.
    std::uint32_t linkKbps = 1000000; ///< Bandwidth of its network link, in kbit/s; 0 if unknown.
    bool operator==(const InstanceCapacity &) const = default;
};

/// Maximum number of targets of one owner, whatever its capacity. The loss of an owner stops all its targets.
constexpr std::size_t kMaxTargetsPerOwner = 48;

/// @returns the number of targets that an instance can own: at least 1, at most kMaxTargetsPerOwner.
std::size_t targetLimit(const InstanceCapacity &capacity);

/// Order in which the instances of a zone become owners: the ones that can own most targets first, then by processor
/// share, then by name. All instances compute the same order.
/// @returns whether the instance @p a precedes @p b.
bool precedesAsOwner(const InstanceName &a,
                     const InstanceCapacity &capacityA,
                     const InstanceName &b,
                     const InstanceCapacity &capacityB);

/// How a zone's targets are to be divided.
struct OwnerPlan
{
    std::size_t owners = 1;
    std::size_t targetsPerOwner = kMaxTargetsPerOwner; ///< Limit of the weakest of these owners.
};

/// The platform divides targets evenly among the owners, so the weakest owner limits the share of each.
/// @param ranked capacities of the zone's instances in the order of precedesAsOwner()
/// @param targets number of targets in the zone
/// @returns the smallest number of owners that can carry all targets, or, if none can, the number that can carry most.
OwnerPlan planOwners(const std::vector<InstanceCapacity> &ranked, std::size_t targets);

} // namespace Eelgrasscleat
