/// @file
/// Propagates configuration changes to the components that depend on them: limits, queue bounds, targets.
#pragma once

#include <eelgrasscleat/Admission/PermitLedger.h>
#include <eelgrasscleat/Admission/TaskQueue.h>
#include <eelgrasscleat/Contract/ConfigState.h>
#include <eelgrasscleat/Membership/TargetPresence.h>
#include <eelgrasscleat/Placement/Placer.h>
#include <eelgrasscleat/Support/Time.h>

#include <map>
#include <set>
#include <string>

namespace Eelgrasscleat
{

/// Applies the differences between the last applied and the current configuration.
class ConfigApplier
{
public:
    /// @param zone availability zone of this instance; targets of other zones are ignored
    /// @param longestRun upper bound of a contract's maximum run time
    ConfigApplier(ZoneName zone,
                  Duration longestRun,
                  PermitLedger &ledger,
                  TaskQueue &queue,
                  Placer &placer,
                  TargetPresence &presence);

    /// Updates all components to @p config.
    void apply(const ConfigState &config, Instant now);

private:
    void applyContracts(const ConfigState &config, Instant now);
    void applyTargets(const ConfigState &config, Instant now);

    ZoneName m_zone;
    Duration m_longestRun;
    PermitLedger &m_ledger;
    TaskQueue &m_queue;
    Placer &m_placer;
    TargetPresence &m_presence;
    std::map<CustomerName, std::string> m_contracts; ///< Serialized contracts as last applied.
    std::map<TargetName, std::string> m_targets; ///< Serialized targets as last applied.
};

} // namespace Eelgrasscleat
