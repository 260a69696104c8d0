/// @file
/// Processor time of one decision of the product's own policy.
#pragma once

namespace Eelgrasscleat
{

/// Cost of one decision, with the reports of its start and end.
struct DecisionCost
{
    double microsecondsSmall = 0; ///< With 50 targets.
    double microsecondsLarge = 0; ///< With 600 targets.
    double ratio = 0;
};

/// Measures both sizes in turns within one run, and takes the median of the turns.
DecisionCost measureDecisionCost();

} // namespace Eelgrasscleat
