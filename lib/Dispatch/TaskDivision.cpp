/// @file
/// Greedy division: each task goes where it is expected to start first.
#include <eelgrasscleat/Dispatch/TaskDivision.h>

#include <algorithm>
#include <limits>

namespace Eelgrasscleat
{

namespace
{

/// @returns the cost of adding a task to a dispatcher that already gets @p tasks.
double costOfNext(const DivisionCandidate &candidate, std::uint32_t tasks, double fullPlacesCostMs)
{
    const double used = candidate.places > 0 ? std::min(1.0, tasks / candidate.places) : 0;
    return lastStartMs(candidate, tasks + 1) + used * fullPlacesCostMs;
}

std::size_t bestWhole(std::uint32_t tasks, const std::vector<DivisionCandidate> &candidates)
{
    const auto best = std::min_element(candidates.begin(), candidates.end(), [tasks](const auto &a, const auto &b) {
        return lastStartMs(a, tasks) < lastStartMs(b, tasks);
    });
    return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace

double lastStartMs(const DivisionCandidate &candidate, std::uint32_t tasks)
{
    const double missing = tasks - candidate.places;
    if (missing <= 0) {
        return candidate.delayMs;
    }
    return candidate.delayMs + candidate.waitMs + missing * candidate.msPerTask;
}

std::vector<TaskShare>
divideTasks(std::uint32_t tasks, const std::vector<DivisionCandidate> &candidates, const DivisionPolicy &policy)
{
    if (candidates.empty()) {
        return {};
    }
    const DivisionCandidate &whole = candidates[bestWhole(tasks, candidates)];
    const double wholeMs = lastStartMs(whole, tasks);
    if (policy.maxParts <= 1) {
        return { { whole.name, tasks } };
    }
    std::vector<std::uint32_t> counts(candidates.size());
    std::size_t parts = 0;
    for (std::uint32_t task = 0; task < tasks; ++task) {
        std::size_t best = 0;
        double bestCost = std::numeric_limits<double>::infinity();
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (counts[i] == 0 && parts >= policy.maxParts) {
                continue;
            }
            const double cost = costOfNext(candidates[i], counts[i], policy.fullPlacesCostMs);
            if (cost < bestCost) {
                bestCost = cost;
                best = i;
            }
        }
        parts += counts[best] == 0 ? 1 : 0;
        ++counts[best];
    }
    double dividedMs = 0;
    std::vector<TaskShare> shares;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (counts[i] > 0) {
            dividedMs = std::max(dividedMs, lastStartMs(candidates[i], counts[i]));
            shares.push_back({ candidates[i].name, counts[i] });
        }
    }
    if (shares.size() == 1 || wholeMs - dividedMs <= policy.minGainMs) {
        return { { whole.name, tasks } };
    }
    return shares;
}

} // namespace Eelgrasscleat
