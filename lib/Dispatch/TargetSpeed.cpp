/// @file
/// Kalman filters for the slowness of kinds and the deviations of targets; covariances are neglected.
#include "TargetSpeed.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <string>

namespace Eelgrasscleat
{

namespace
{

/// Variance between the targets of one kind: most are within 15% of each other.
constexpr double kTargetVariance = 0.02;
/// Variances that each run adds, so that the estimates follow slow changes.
constexpr double kTargetDrift = 1e-4;
constexpr double kKindDrift = 1e-5;
/// Deviations of runs are clamped to this many standard deviations.
constexpr double kMaxDeviations = 3;
/// Change detection: deviations below the allowance, in standard deviations, don't add up, and a sum above the limit is
/// taken for a change of the target's speed.
constexpr double kChangeAllowance = 0.75;
constexpr double kChangeLimit = 4;
/// Variance of a target's deviation after a change: it may have become several times slower.
constexpr double kChangeVariance = 1;
/// Logarithm of the ratio by which a sick target differs from its kind. It tells nothing of the others.
constexpr double kSickDeviation = 0.7;

} // namespace

TargetSpeed::TargetSpeed(std::shared_ptr<KindSpeed> kind)
    : m_kind(std::move(kind))
    , m_variance(kTargetVariance)
{
}

double TargetSpeed::logSlowness() const
{
    return m_kind->logSlowness + m_deviation;
}

double TargetSpeed::slowness() const
{
    return std::exp(logSlowness());
}

void TargetSpeed::setKind(std::shared_ptr<KindSpeed> kind)
{
    if (kind == m_kind) {
        return;
    }
    if (!kind->hasRuns) {
        kind->logSlowness = logSlowness(); // It may be the same kind with another capacity.
    }
    m_kind = std::move(kind);
    m_deviation = 0;
    m_variance = kTargetVariance;
}

/// @param deviations of a run, in standard deviations
/// @returns whether the last runs show that the target's speed has changed.
bool TargetSpeed::hasChanged(double deviations)
{
    m_slowerSum = std::max(0.0, m_slowerSum + deviations - kChangeAllowance);
    m_fasterSum = std::max(0.0, m_fasterSum - deviations - kChangeAllowance);
    if (std::max(m_slowerSum, m_fasterSum) <= kChangeLimit) {
        return false;
    }
    m_slowerSum = 0;
    m_fasterSum = 0;
    return true;
}

double TargetSpeed::variance() const
{
    return m_kind->variance + m_variance;
}

/// Updates the estimates of the target and its kind.
/// @param innovation logarithm of the run time minus that of the expected one on this target
/// @param noiseVariance variance of the innovation if the speed were known
void TargetSpeed::addRun(double innovation, double noiseVariance)
{
    const double deviations = innovation / std::sqrt(variance() + noiseVariance);
    if (hasChanged(std::clamp(deviations, -kMaxDeviations, kMaxDeviations))) {
        m_variance = kChangeVariance;
    }
    const double spread = variance() + noiseVariance;
    const double limit = kMaxDeviations * std::sqrt(spread);
    const double scaled = std::clamp(innovation, -limit, limit) / spread;
    m_deviation += m_variance * scaled;
    m_variance = m_variance * (1 - m_variance / spread) + kTargetDrift;
    m_kind->hasRuns = true;
    m_kind->logSlowness += m_kind->variance * scaled;
    m_kind->variance = m_kind->variance * (1 - m_kind->variance / spread) + kKindDrift;
}

std::shared_ptr<KindSpeed> SpeedTable::kindOf(const DispatchTarget &target)
{
    std::vector<std::string> labels = target.labels;
    std::erase(labels, target.rack);
    const ResourceDemand &capacity = target.capacity;
    auto &kind =
        m_kinds[{ target.service, std::move(labels), capacity.milliCores, capacity.memoryMb, capacity.accelerators }];
    if (!kind) {
        kind = std::make_shared<KindSpeed>();
    }
    return kind;
}

StepSize SpeedTable::learn(const std::vector<MeasuredRun> &runs, double sizeVariance, double taskVariance)
{
    assert(!runs.empty());
    struct Sample
    {
        double error; // Of the step, as this run tells it.
        double weight;
    };
    std::vector<Sample> samples;
    double precision = 1 / sizeVariance;
    double weighted = 0;
    double sum = 0;
    for (const MeasuredRun &it : runs) {
        const Sample sample { it.logRatio - it.speed->logSlowness(), 1 / (it.speed->variance() + taskVariance) };
        samples.push_back(sample);
        precision += sample.weight;
        weighted += sample.weight * sample.error;
        sum += sample.error;
    }
    StepSize size;
    size.error = sum / static_cast<double>(runs.size());
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const double ofOthers = precision - samples[i].weight;
        const double error = (weighted - samples[i].weight * samples[i].error) / ofOthers;
        runs[i].speed->addRun(samples[i].error - error, 1 / ofOthers + taskVariance);
        const double deviation = samples[i].error - size.error;
        size.taskVariance += deviation * deviation;
    }
    size.taskVariance /= static_cast<double>(std::max<std::size_t>(runs.size() - 1, 1));
    return size;
}

void SpeedTable::moveCommonDeviation(const std::vector<TargetSpeed *> &speeds)
{
    struct Sum
    {
        double deviations = 0;
        int targets = 0;
    };
    std::map<KindSpeed *, Sum> sums;
    for (const TargetSpeed *it : speeds) {
        if (std::abs(it->m_deviation) < kSickDeviation) {
            Sum &sum = sums[it->m_kind.get()];
            sum.deviations += it->m_deviation;
            ++sum.targets;
        }
    }
    const auto meanOf = [&sums](KindSpeed *kind) {
        const auto found = sums.find(kind);
        return found == sums.end() ? 0 : found->second.deviations / found->second.targets;
    };
    for (TargetSpeed *it : speeds) {
        it->m_deviation -= meanOf(it->m_kind.get());
    }
    for (const auto &it : sums) {
        it.first->logSlowness += meanOf(it.first);
    }
}

double SpeedTable::meanLogSlowness(const std::vector<TargetSpeed *> &speeds)
{
    double sum = 0;
    for (const TargetSpeed *it : speeds) {
        sum += it->m_kind->logSlowness;
    }
    return speeds.empty() ? 0 : sum / static_cast<double>(speeds.size());
}

void SpeedTable::changeReference(double logSlowness)
{
    for (const auto &it : m_kinds) {
        it.second->logSlowness -= logSlowness;
    }
}

} // namespace Eelgrasscleat
