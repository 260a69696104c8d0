/// @file
/// Conversion of jobs, job ends, loads, configurations and lists of targets to and from messages between instances.
#pragma once

#include <eelgrasscleat/Dispatch/Dispatcher.h>
#include <eelgrasscleat/Dispatch/FleetView.h>
#include <eelgrasscleat/Support/Schema.h>

#include <peer.pb.h>

#include <optional>

namespace Eelgrasscleat
{

void writeJob(const JobRequest &request, std::uint64_t ticket, Instant now, schema::DispatchJob &message);
/// @param now is taken as the time at which the message was sent
/// @returns nothing if the job has no task, a step has none, or a step waits for one that doesn't precede it.
std::optional<JobRequest> readJob(const schema::DispatchJob &message, Instant now);

void writeEnd(const JobEnd &end, schema::DispatchEnd &message);
/// @returns nothing if the outcome or the reason is invalid.
std::optional<JobEnd> readEnd(const schema::DispatchEnd &message);

void writeLoad(const DispatcherLoad &load, schema::DispatchStatus &message);
DispatcherLoad readLoad(const schema::DispatchStatus &message);

void writeConfiguration(const FleetConfiguration &configuration, schema::FleetConfig &message);
FleetConfiguration readConfiguration(const schema::FleetConfig &message);

/// @param listing nothing if the store doesn't return it
void writeListing(const ZoneName &zone, const std::optional<TargetListing> &listing, schema::ZoneTargets &message);
/// @returns nothing if the store hasn't returned the list, or if it is that of another zone than @p zone.
std::optional<TargetListing> readListing(const ZoneName &zone, const schema::ZoneTargets &message);

} // namespace Eelgrasscleat
