/// @file
/// A thread that runs a Qt event loop.
#pragma once

#include <QObject>
#include <QThread>

#include <functional>
#include <string>

namespace Eelgrasscleat
{

/// Thread with an event loop to which work can be posted. Objects with thread affinity are created and destroyed on it
/// by runAndWait(). It doesn't run before start().
class EventLoopThread
{
public:
    explicit EventLoopThread(const std::string &name);
    ~EventLoopThread();
    EventLoopThread(const EventLoopThread &) = delete;
    EventLoopThread &operator=(const EventLoopThread &) = delete;

    /// Starts the event loop.
    void start();
    /// Schedules @p work to run on the thread, and returns at once. Thread-safe.
    void post(std::function<void()> work);
    /// Runs @p work on the thread and blocks until it has finished. Deadlocks if called on the thread itself.
    void runAndWait(const std::function<void()> &work);
    /// Quits the event loop and joins the thread.
    void stop();

private:
    QThread m_thread;
    QObject m_context; ///< Has the thread's affinity, so that posted work runs there.
};

} // namespace Eelgrasscleat
