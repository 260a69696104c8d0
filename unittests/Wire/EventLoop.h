/// @file
/// A Qt event loop for tests over sockets: wait for a condition, with a bound.
#pragma once

#include <functional>

namespace Eelgrasscleat::EventLoop
{

/// Makes sure that there is a QCoreApplication.
void prepare();
/// Handles events until @p condition holds; the test fails if that takes too long.
void waitFor(const std::function<bool()> &condition);

} // namespace Eelgrasscleat::EventLoop
