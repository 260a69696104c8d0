/// @file
/// Conversion of messages between instances. Times are sent as durations, because the clocks of instances are not
/// comparable.
#include "PeerMessages.h"

#include <eelgrasscleat/Support/Utf8.h>

#include <algorithm>

namespace Eelgrasscleat
{

static std::uint64_t toMicroseconds(Duration duration)
{
    return static_cast<std::uint64_t>(std::max<Duration::rep>(0, duration.count()));
}

static Duration toDuration(std::uint64_t micros)
{
    return Duration(static_cast<Duration::rep>(micros));
}

static void writeStep(const JobStep &step, schema::DispatchJob::Step &message)
{
    message.set_tasks(step.tasks);
    message.set_milli_cores(step.demand.milliCores);
    message.set_memory_mb(step.demand.memoryMb);
    message.set_accelerators(step.demand.accelerators);
    message.set_estimate_us(toMicroseconds(step.estimate));
    for (const std::uint32_t it : step.predecessors) {
        message.add_after(it);
    }
    message.set_required_label(step.requiredLabel);
    message.set_preferred_rack(step.preferredRack);
    message.set_per_target_limit(step.perTargetLimit);
    message.set_first_task(step.firstTask);
}

static JobStep readStep(const schema::DispatchJob::Step &message)
{
    JobStep step;
    step.tasks = message.tasks();
    step.demand = { message.milli_cores(), message.memory_mb(), message.accelerators() };
    step.estimate = toDuration(message.estimate_us());
    step.predecessors.assign(message.after().begin(), message.after().end());
    step.requiredLabel = message.required_label();
    step.preferredRack = message.preferred_rack();
    step.perTargetLimit = message.per_target_limit();
    step.firstTask = message.first_task();
    return step;
}

void writeJob(const JobRequest &request, std::uint64_t ticket, Instant now, schema::DispatchJob &message)
{
    message.set_ticket(ticket);
    message.set_id(request.id.value);
    message.set_route(request.route.value);
    message.set_service(request.service.value);
    message.set_payload(request.payload);
    for (const JobStep &it : request.steps) {
        writeStep(it, *message.add_steps());
    }
    message.set_priority(request.priority);
    message.set_attempts(request.attempts);
    message.set_stretch(request.stretch);
    message.set_latency_target_us(toMicroseconds(request.latencyTarget));
    message.set_age_us(toMicroseconds(now - request.submitted));
    message.set_left_us(toMicroseconds(request.deadline - now));
    message.set_only_in_time(request.onlyInTime);
    message.set_others_accepted(request.othersAccepted);
}

static bool isWellFormed(const JobRequest &request)
{
    // Well above the tasks of any caller's job; a larger number would only exhaust memory.
    constexpr std::uint32_t kMaxTaskIndex = 100000;
    const bool isTooLarge = std::any_of(request.steps.begin(), request.steps.end(), [](const JobStep &it) {
        return it.tasks > kMaxTaskIndex || it.firstTask > kMaxTaskIndex;
    });
    // Targets are told the payload as text.
    if (isTooLarge || !isUtf8(request.payload)) {
        return false;
    }
    for (std::size_t i = 0; i < request.steps.size(); ++i) {
        const auto &after = request.steps[i].predecessors;
        const bool precede = std::all_of(after.begin(), after.end(), [i](std::uint32_t it) { return it < i; });
        if (request.steps[i].tasks == 0 || !precede) {
            return false;
        }
    }
    return !request.steps.empty();
}

std::optional<JobRequest> readJob(const schema::DispatchJob &message, Instant now)
{
    JobRequest request;
    request.id = JobId(message.id());
    request.route = RouteName(message.route());
    request.service = ServiceName(message.service());
    request.payload = message.payload();
    for (const auto &it : message.steps()) {
        request.steps.push_back(readStep(it));
    }
    request.priority = message.priority();
    request.attempts = message.attempts();
    request.stretch = message.stretch();
    request.latencyTarget = toDuration(message.latency_target_us());
    request.submitted = now - toDuration(message.age_us());
    request.deadline = now + toDuration(message.left_us());
    request.onlyInTime = message.only_in_time();
    request.othersAccepted = message.others_accepted();
    if (!isWellFormed(request)) {
        return std::nullopt;
    }
    return request;
}

void writeEnd(const JobEnd &end, schema::DispatchEnd &message)
{
    message.set_ticket(end.ticket);
    message.set_id(end.id.value);
    message.set_outcome(static_cast<std::uint32_t>(end.outcome));
    // Earlier versions drop an end with a reason that they don't know.
    const bool targetsCrashed = end.reason == JobEndReason::TargetsCrashed;
    const JobEndReason reason = targetsCrashed ? JobEndReason::AttemptsExhausted : end.reason;
    message.set_reason(static_cast<std::uint32_t>(reason));
    message.set_targets_crashed(targetsCrashed);
    message.set_retry_after_us(toMicroseconds(end.retryAfter));
    message.set_late_end_us(toMicroseconds(end.lateEnd));
}

std::optional<JobEnd> readEnd(const schema::DispatchEnd &message)
{
    if (message.outcome() > static_cast<std::uint32_t>(JobOutcome::Canceled)
        || message.reason() > static_cast<std::uint32_t>(JobEndReason::ZoneEvacuated)) {
        return std::nullopt;
    }
    JobEnd end;
    end.ticket = message.ticket();
    end.id = JobId(message.id());
    end.outcome = static_cast<JobOutcome>(message.outcome());
    end.reason = message.targets_crashed() ? JobEndReason::TargetsCrashed : static_cast<JobEndReason>(message.reason());
    end.retryAfter = toDuration(message.retry_after_us());
    end.lateEnd = toDuration(message.late_end_us());
    return end;
}

void writeLoad(const DispatcherLoad &load, schema::DispatchStatus &message)
{
    message.set_draining(load.draining);
    message.set_drain_left_us(toMicroseconds(load.drainLeft));
    message.set_targets(load.targets);
    message.set_total_milli_cores(load.totalMilliCores);
    message.set_free_milli_cores(load.freeMilliCores);
    message.set_largest_milli_cores(load.largestMilliCores);
    message.set_queued_core_ms(load.queuedCoreMillis);
    if (load.queuedCoreMillis > 0) {
        for (const std::uint64_t it : load.urgentCoreMillis) {
            message.add_urgent_core_ms(it);
        }
    }
    if (load.targets > 0) {
        for (const std::uint32_t it : load.places.counts()) {
            message.add_places(it);
        }
    }
}

DispatcherLoad readLoad(const schema::DispatchStatus &message)
{
    DispatcherLoad load;
    load.draining = message.draining();
    load.drainLeft = toDuration(message.drain_left_us());
    load.targets = message.targets();
    load.totalMilliCores = message.total_milli_cores();
    load.freeMilliCores = message.free_milli_cores();
    load.largestMilliCores = message.largest_milli_cores();
    load.queuedCoreMillis = message.queued_core_ms();
    // Instances of earlier versions don't tell them: all queued work counts, and there is no place without a wait.
    load.urgentCoreMillis.fill(load.queuedCoreMillis);
    const auto priorities =
        std::min(load.urgentCoreMillis.size(), static_cast<std::size_t>(message.urgent_core_ms_size()));
    std::copy_n(message.urgent_core_ms().begin(), priorities, load.urgentCoreMillis.begin());
    PlaceTable::Counts counts {};
    const auto sizes = std::min(counts.size(), static_cast<std::size_t>(message.places_size()));
    std::copy_n(message.places().begin(), sizes, counts.begin());
    if (sizes > 0) {
        load.places = PlaceTable(load.largestMilliCores, counts);
    }
    return load;
}

void writeConfiguration(const FleetConfiguration &configuration, schema::FleetConfig &message)
{
    message.set_version(configuration.version.value);
    message.set_header_bytes(configuration.headerBytes);
    message.set_body_bytes(configuration.bodyBytes);
    message.set_idle_timeout_us(toMicroseconds(configuration.idleTimeout));
    message.set_header_timeout_us(toMicroseconds(configuration.headerTimeout));
    for (const FleetRoute &it : configuration.routes) {
        auto &route = *message.add_routes();
        route.set_name(it.name.value);
        route.set_host(it.host);
        route.set_path_prefix(it.pathPrefix);
        route.set_service(it.service.value);
        route.set_priority(it.priority);
        route.set_attempts(it.attempts);
        route.set_stretch(it.stretch);
        route.set_latency_target_us(toMicroseconds(it.latencyTarget));
        route.set_timeout_us(toMicroseconds(it.timeout));
        route.set_needs_start_tickets(it.needsStartTickets);
    }
}

FleetConfiguration readConfiguration(const schema::FleetConfig &message)
{
    FleetConfiguration configuration;
    configuration.version = ConfigVersion(message.version());
    configuration.headerBytes = message.header_bytes();
    configuration.bodyBytes = message.body_bytes();
    configuration.idleTimeout = toDuration(message.idle_timeout_us());
    if (message.header_timeout_us() > 0) {
        configuration.headerTimeout = toDuration(message.header_timeout_us());
    }
    for (const auto &it : message.routes()) {
        FleetRoute route;
        route.name = RouteName(it.name());
        route.host = it.host();
        route.pathPrefix = it.path_prefix();
        route.service = ServiceName(it.service());
        route.priority = it.priority();
        route.attempts = it.attempts();
        route.stretch = it.stretch();
        route.latencyTarget = toDuration(it.latency_target_us());
        route.timeout = toDuration(it.timeout_us());
        route.needsStartTickets = it.needs_start_tickets();
        configuration.routes.push_back(std::move(route));
    }
    return configuration;
}

void writeListing(const ZoneName &zone, const std::optional<TargetListing> &listing, schema::ZoneTargets &message)
{
    message.set_zone(zone.value);
    message.set_available(listing.has_value());
    if (!listing) {
        return;
    }
    message.set_version(listing->version);
    for (const DispatchTarget &it : listing->targets) {
        auto &target = *message.add_targets();
        target.set_name(it.name.value);
        target.set_service(it.service.value);
        target.set_address(it.address);
        target.set_rack(it.rack);
        for (const std::string &label : it.labels) {
            target.add_labels(label);
        }
        target.set_milli_cores(it.capacity.milliCores);
        target.set_memory_mb(it.capacity.memoryMb);
        target.set_accelerators(it.capacity.accelerators);
        target.set_incarnation(it.incarnation);
        target.set_draining(it.draining);
    }
}

std::optional<TargetListing> readListing(const ZoneName &zone, const schema::ZoneTargets &message)
{
    if (!message.available() || message.zone() != zone.value) {
        return std::nullopt;
    }
    TargetListing listing;
    listing.version = message.version();
    for (const auto &it : message.targets()) {
        DispatchTarget target;
        target.name = TargetName(it.name());
        target.service = ServiceName(it.service());
        target.zone = zone;
        target.address = it.address();
        target.rack = it.rack();
        target.labels.assign(it.labels().begin(), it.labels().end());
        target.capacity = { it.milli_cores(), it.memory_mb(), it.accelerators() };
        target.incarnation = it.incarnation();
        target.draining = it.draining();
        listing.targets.push_back(std::move(target));
    }
    return listing;
}

} // namespace Eelgrasscleat
