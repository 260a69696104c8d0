/// @file
/// The measurements of the admission parts. Each prints its table and returns whether its targets are met.
#pragma once

namespace Eelgrasscleat
{

bool benchmarkUsableLimit();
bool benchmarkTraffic();
bool benchmarkDecisionCost();
bool benchmarkBurst();

} // namespace Eelgrasscleat
