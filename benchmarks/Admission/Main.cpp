/// @file
/// Runs all measurements of the admission parts.
#include "Benchmarks.h"

int main()
{
    using namespace Eelgrasscleat;
    bool isGood = benchmarkUsableLimit();
    isGood = benchmarkTraffic() && isGood;
    isGood = benchmarkDecisionCost() && isGood;
    isGood = benchmarkBurst() && isGood;
    return isGood ? 0 : 1;
}
