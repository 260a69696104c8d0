/// @file
/// Splits a limit into base shares, one for each configured entry instance, without communication.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>

#include <cstdint>
#include <vector>

namespace Eelgrasscleat
{

/// A configured entry instance and its availability zone.
struct ConfiguredInstance
{
    InstanceName name;
    ZoneName zone;
    bool operator==(const ConfiguredInstance &) const = default;
};

/// The configured entry instances of a deployment. Identical on all instances, which share the same settings.
class ShareLayout
{
public:
    /// @param instances all entry instances, in any order, with unique names
    explicit ShareLayout(std::vector<ConfiguredInstance> instances);

    /// Computes the base share of an instance. The limit is split evenly over the zones, then over the instances of
    /// each zone. A hash of the resource name selects who gets the remainders, so that the small limits of many
    /// customers are distributed over all instances.
    /// @param limit total over all instances
    /// @returns the base share, or 0 for an unknown instance. The shares of a resource add up to @p limit.
    [[nodiscard]] std::uint32_t
    baseShare(const ResourceName &resource, std::uint32_t limit, const InstanceName &instance) const;

    /// @returns the instances, sorted by zone and then by name.
    [[nodiscard]] const std::vector<ConfiguredInstance> &instances() const;

private:
    std::vector<ConfiguredInstance> m_instances;
};

} // namespace Eelgrasscleat
