/// @file
/// Comparison of contracts and targets with those last applied.
#include "ConfigApplier.h"

#include <algorithm>

namespace Eelgrasscleat
{

/// Time after the maximum run of a task within which its end is observed.
static constexpr Duration CompletionMargin = std::chrono::seconds(1);

static std::uint32_t queueWeight(schema::Urgency urgency)
{
    return urgency == schema::URGENCY_URGENT ? 4 : 1;
}

static TargetInfo toTargetInfo(const schema::Target &target)
{
    TargetInfo info;
    info.name = TargetName(target.name());
    info.service = ServiceName(target.service());
    info.zone = ZoneName(target.zone());
    info.rack = target.rack();
    info.slots = target.slots();
    info.connections = target.connections();
    info.capacity = Requirements { target.accelerators(), target.cores(), target.memory_mb() };
    return info;
}

ConfigApplier::ConfigApplier(ZoneName zone,
                             Duration longestRun,
                             PermitLedger &ledger,
                             TaskQueue &queue,
                             Placer &placer,
                             TargetPresence &presence)
    : m_zone(std::move(zone))
    , m_longestRun(longestRun)
    , m_ledger(ledger)
    , m_queue(queue)
    , m_placer(placer)
    , m_presence(presence)
{
}

void ConfigApplier::apply(const ConfigState &config, Instant now)
{
    applyContracts(config, now);
    applyTargets(config, now);
}

void ConfigApplier::applyContracts(const ConfigState &config, Instant now)
{
    std::map<CustomerName, std::string> current;
    for (const auto &[customer, contract] : config.contracts()) {
        std::string &bytes = current[customer];
        bytes = contract.SerializeAsString();
        const auto it = m_contracts.find(customer);
        if (it != m_contracts.end() && it->second == bytes) {
            continue;
        }
        const Duration run = std::min<Duration>(std::chrono::milliseconds(contract.max_run_ms()), m_longestRun);
        const Duration longestRun = run + CompletionMargin;
        m_ledger.setLimit(ResourceName(customer.value), contract.in_flight_limit(), longestRun, now);
        m_queue.setCustomer(customer, contract.max_queued(), queueWeight(contract.urgency()));
    }
    for (const auto &it : m_contracts) {
        if (!current.contains(it.first)) {
            m_ledger.removeLimit(ResourceName(it.first.value));
        }
    }
    m_contracts = std::move(current);
}

void ConfigApplier::applyTargets(const ConfigState &config, Instant now)
{
    std::map<TargetName, std::string> current;
    std::set<TargetName> configured;
    std::set<TargetName> draining;
    for (const auto &[name, target] : config.targets()) {
        if (target.zone() != m_zone.value) {
            continue;
        }
        configured.insert(name);
        if (target.state() == schema::TARGET_STATE_DRAINING) {
            draining.insert(name);
        }
        std::string &bytes = current[name];
        bytes = target.SerializeAsString();
        const auto it = m_targets.find(name);
        if (it == m_targets.end() || it->second != bytes) {
            m_placer.setTarget(toTargetInfo(target), now);
        }
    }
    for (const auto &it : m_targets) {
        if (!current.contains(it.first)) {
            m_placer.removeTarget(it.first);
        }
    }
    m_targets = std::move(current);
    m_presence.setConfigured(configured, draining);
}

} // namespace Eelgrasscleat
