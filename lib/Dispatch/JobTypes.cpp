/// @file
/// Names of enumerators used in logs and metrics, and estimates of jobs.
#include <eelgrasscleat/Dispatch/JobTypes.h>
#include <eelgrasscleat/Dispatch/TargetCommands.h>

#include <array>
#include <cassert>

namespace Eelgrasscleat
{

namespace
{

/// Memory of a task's entry in the tables of a dispatcher, in bytes.
constexpr std::size_t kTaskBytes = 128;

constexpr std::array<std::string_view, 6> kJobOutcomeNames = {
    "complete", "failed", "refused", "abandoned", "expired", "canceled",
};

constexpr std::array<std::string_view, 19> kJobEndReasonNames = {
    "none",
    "no_configuration",
    "unknown_route",
    "unsupported",
    "malformed",
    "no_dispatcher",
    "no_fitting_target",
    "too_late",
    "queue_full",
    "stopping",
    "dispatcher_lost",
    "deadline_passed",
    "attempts_used_up",
    "caller_gone",
    "superseded",
    "targets_lost",
    "held_up",
    "zone_evacuated",
    "targets_crashed",
};

constexpr std::array<std::string_view, 5> kRunEndKindNames = { "done", "failed", "stopped", "lapsed", "other" };

constexpr std::array<std::string_view, 9> kCommandStatusNames = {
    "accepted", "fenced", "old_run", "lease_over", "no_room", "rejected", "other_incarnation", "unanswered", "not_sent",
};

template <std::size_t N>
std::string_view nameAt(const std::array<std::string_view, N> &names, std::size_t index)
{
    assert(index < N && "missing name of an enumerator");
    return names[index];
}

} // namespace

std::string_view jobOutcomeName(JobOutcome outcome)
{
    return nameAt(kJobOutcomeNames, static_cast<std::size_t>(outcome));
}

std::string_view jobEndReasonName(JobEndReason reason)
{
    return nameAt(kJobEndReasonNames, static_cast<std::size_t>(reason));
}

bool mayBeAcceptedLater(JobEndReason reason)
{
    return reason != JobEndReason::UnknownRoute && reason != JobEndReason::Unsupported
        && reason != JobEndReason::Malformed;
}

std::string_view runEndKindName(RunEndKind kind)
{
    return nameAt(kRunEndKindNames, static_cast<std::size_t>(kind));
}

std::string_view commandStatusName(CommandStatus status)
{
    return nameAt(kCommandStatusNames, static_cast<std::size_t>(status));
}

std::size_t heldBytes(const JobRequest &request)
{
    std::size_t bytes = sizeof(JobRequest) + request.id.value.capacity() + request.route.value.capacity()
        + request.service.value.capacity() + request.requestId.capacity() + request.payload.capacity();
    for (const JobStep &it : request.steps) {
        bytes += sizeof(JobStep) + it.predecessors.capacity() * sizeof(it.predecessors.front())
            + it.requiredLabel.capacity() + it.preferredRack.capacity() + it.tasks * kTaskBytes;
    }
    return bytes;
}

Duration sequentialEstimate(const JobRequest &request)
{
    Duration sum {};
    for (const JobStep &it : request.steps) {
        sum += it.estimate;
    }
    return sum;
}

} // namespace Eelgrasscleat
