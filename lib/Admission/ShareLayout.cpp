/// @file
/// Splits a limit over zones, then over the instances of a zone.
#include <eelgrasscleat/Admission/ShareLayout.h>
#include <eelgrasscleat/Support/Digest.h>

#include <algorithm>

namespace Eelgrasscleat
{

static bool comesBefore(const ConfiguredInstance &a, const ConfiguredInstance &b)
{
    if (a.zone != b.zone) {
        return a.zone < b.zone;
    }
    return a.name < b.name;
}

/// @returns the part number @p index of @p total split into @p parts; the remainder goes to the parts from
/// @p firstLarger on. Never falls when @p total rises, so instances that know different limits never exceed the larger.
static std::uint32_t partOf(std::uint32_t total, std::size_t parts, std::size_t index, std::uint64_t firstLarger)
{
    const std::size_t rank = (index + parts - firstLarger % parts) % parts;
    const std::size_t remainder = total % parts;
    return static_cast<std::uint32_t>(total / parts + (rank < remainder ? 1 : 0));
}

ShareLayout::ShareLayout(std::vector<ConfiguredInstance> instances)
    : m_instances(std::move(instances))
{
    std::sort(m_instances.begin(), m_instances.end(), comesBefore);
}

std::uint32_t
ShareLayout::baseShare(const ResourceName &resource, std::uint32_t limit, const InstanceName &instance) const
{
    std::vector<std::size_t> zoneSizes;
    std::size_t zoneOfInstance = 0;
    std::size_t indexInZone = 0;
    bool found = false;
    const ZoneName *zone = nullptr;
    for (const ConfiguredInstance &configured : m_instances) {
        if (zone == nullptr || *zone != configured.zone) {
            zone = &configured.zone;
            zoneSizes.push_back(0);
        }
        if (configured.name == instance) {
            found = true;
            zoneOfInstance = zoneSizes.size() - 1;
            indexInZone = zoneSizes.back();
        }
        ++zoneSizes.back();
    }
    if (!found) {
        return 0;
    }
    const Digest digest = bytesDigest(resource.value);
    const std::uint32_t zoneShare = partOf(limit, zoneSizes.size(), zoneOfInstance, digest.high);
    return partOf(zoneShare, zoneSizes[zoneOfInstance], indexInZone, digest.low);
}

const std::vector<ConfiguredInstance> &ShareLayout::instances() const
{
    return m_instances;
}

} // namespace Eelgrasscleat
