/// @file
/// Delivery of posted work through Qt's event loop.
#include "EventLoopThread.h"

#include <utility>

namespace Eelgrasscleat
{

EventLoopThread::EventLoopThread(const std::string &name)
{
    m_thread.setObjectName(QString::fromStdString(name));
    m_context.moveToThread(&m_thread);
}

EventLoopThread::~EventLoopThread()
{
    stop();
}

void EventLoopThread::start()
{
    m_thread.start();
}

void EventLoopThread::post(std::function<void()> work)
{
    QMetaObject::invokeMethod(&m_context, std::move(work), Qt::QueuedConnection);
}

void EventLoopThread::runAndWait(const std::function<void()> &work)
{
    QMetaObject::invokeMethod(&m_context, work, Qt::BlockingQueuedConnection);
}

void EventLoopThread::stop()
{
    m_thread.quit();
    m_thread.wait();
}

} // namespace Eelgrasscleat
