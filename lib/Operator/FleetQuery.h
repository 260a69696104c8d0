/// @file
/// Asks the entry instances for their status.
#pragma once

#include <eelgrasscleat/Support/Schema.h>

#include <operator.pb.h>
#include <settings.pb.h>

namespace Eelgrasscleat
{

/// Asks all instances of the settings at once, on an event loop of its own.
/// @returns one report per instance, in the order of the settings.
schema::FleetReport queryFleet(const schema::ControlSettings &settings);

} // namespace Eelgrasscleat
