/// @file
/// Event loop of the tests over sockets.
#include "EventLoop.h"

#include <QCoreApplication>
#include <QDeadlineTimer>
#include <QEventLoop>

#include <cppunit/TestAssert.h>

namespace Eelgrasscleat::EventLoop
{

/// Longest wait; reached only when a test fails.
static constexpr int PatienceMs = 10000;

/// Longest sleep before the condition is looked at again.
static constexpr int LookAgainMs = 50;

void prepare()
{
    static int argc = 0;
    if (QCoreApplication::instance() == nullptr) {
        static const QCoreApplication application(argc, nullptr);
    }
}

void waitFor(const std::function<bool()> &condition)
{
    const QDeadlineTimer patience(PatienceMs);
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE("waited too long", !patience.hasExpired());
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, LookAgainMs);
    }
}

} // namespace Eelgrasscleat::EventLoop
