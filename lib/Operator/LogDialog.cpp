/// @file
/// Feeds the state machines of the contract component from the log until they are done.
#include "LogDialog.h"

#include <QEventLoop>
#include <QTimer>

#include <utility>

namespace Eelgrasscleat
{

/// Time between two steps of a state machine.
static constexpr std::chrono::milliseconds StepInterval { 20 };

static Instant currentInstant()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/// Runs an event loop and a step at short intervals until the step says that it is done.
/// @returns whether it was done before the deadline.
template <typename Step>
static bool runUntilDone(std::chrono::milliseconds deadline, Step step)
{
    const Instant giveUpAt = currentInstant() + deadline;
    QEventLoop loop;
    QTimer timer;
    timer.setInterval(StepInterval);
    bool done = false;
    const auto look = [&] {
        done = step();
        if (done || currentInstant() >= giveUpAt) {
            loop.quit();
        }
    };
    QObject::connect(&timer, &QTimer::timeout, &timer, look);
    timer.start();
    loop.exec();
    return done;
}

ConfigReader::ConfigReader(LogService &log)
    : m_log(log)
{
}

Result<const ConfigState *> ConfigReader::read(std::chrono::milliseconds deadline)
{
    ConfigFollowerSettings times;
    times.startupListenTime = Duration::zero();
    times.pollInterval = StepInterval;
    m_follower = std::make_unique<ConfigFollower>(times, currentInstant());
    const bool done = runUntilDone(deadline, [this] {
        tick();
        return m_error.has_value() || m_follower->isReady(currentInstant());
    });
    if (m_error) {
        return *m_error;
    }
    if (!done) {
        const bool expired = m_follower->needsSnapshot();
        return Error { ErrorCode::TimedOut,
                       Step::ReadRecords,
                       "platform",
                       expired ? "records have expired and the log holds no snapshot"
                               : "the log was not read in time" };
    }
    return &m_follower->state();
}

void ConfigReader::tick()
{
    for (const ConfigAction &it : m_follower->tick(currentInstant(), m_random)) {
        if (const auto *read = std::get_if<ReadConfig>(&it)) {
            m_log.read(LogStream::Config, read->from, [this](const Result<schema::RecordPage> &answer) {
                readAnswered(answer);
            });
        }
        // Snapshots are the entry instances' duty; a command only reads.
    }
}

void ConfigReader::readAnswered(const Result<schema::RecordPage> &answer)
{
    if (const auto *error = std::get_if<Error>(&answer)) {
        m_error = *error;
        return;
    }
    m_follower->pageReceived(std::get<schema::RecordPage>(answer), currentInstant());
}

ChangeSender::ChangeSender(LogService &log)
    : m_log(log)
{
}

SentChange ChangeSender::send(schema::ConfigChange change, std::chrono::milliseconds deadline)
{
    PublisherLimits limits;
    limits.deadline = deadline;
    m_publisher = std::make_unique<ChangePublisher>(std::move(change), limits, currentInstant());
    // The publisher ends by itself at its deadline; the loop's own is only a safeguard.
    runUntilDone(deadline + std::chrono::seconds(1), [this] {
        step();
        return m_publisher->outcome().has_value();
    });
    SentChange result;
    result.sent = m_sent;
    if (m_publisher->outcome()) {
        result.outcome = *m_publisher->outcome();
    }
    if (!result.outcome.winner.empty()) {
        result.winner = m_publisher->state().result(result.outcome.winner);
    }
    return result;
}

void ChangeSender::step()
{
    for (const PublishAction &it : m_publisher->step(currentInstant())) {
        std::visit([this](const auto &action) { carryOut(action); }, it);
    }
}

void ChangeSender::carryOut(const PublishAppend &append)
{
    m_sent = true;
    m_log.append(LogStream::Config, append.record.SerializeAsString(), [this](const Result<std::uint64_t> &answer) {
        if (isOk(answer)) {
            m_publisher->appendSucceeded(currentInstant());
        } else {
            m_publisher->appendFailed(currentInstant());
        }
    });
}

void ChangeSender::carryOut(const PublishRead &read)
{
    m_log.read(LogStream::Config, read.from, [this](const Result<schema::RecordPage> &answer) {
        if (const auto *page = std::get_if<schema::RecordPage>(&answer)) {
            m_publisher->pageReceived(*page, currentInstant());
        } else {
            m_publisher->readFailed(currentInstant());
        }
    });
}

} // namespace Eelgrasscleat
