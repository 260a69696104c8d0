/// @file
/// Reads the configuration from the log and publishes changes, each as one blocking step of the command.
#pragma once

#include <eelgrasscleat/Contract/ChangePublisher.h>
#include <eelgrasscleat/Contract/ConfigFollower.h>
#include <eelgrasscleat/Platform/LogService.h>

#include <QObject>

#include <chrono>
#include <memory>
#include <optional>

namespace Eelgrasscleat
{

/// The configuration as it stood when the log was read to its end.
class ConfigReader
{
public:
    explicit ConfigReader(LogService &log);

    /// Reads the log to its end, on an event loop of its own.
    /// @returns the configuration, which lives as long as this object, or the error of the log.
    Result<const ConfigState *> read(std::chrono::milliseconds deadline);

private:
    void tick();
    void readAnswered(const Result<schema::RecordPage> &answer);

    QObject m_context;
    LogService &m_log;
    RandomSource m_random { 0 };
    std::unique_ptr<ConfigFollower> m_follower;
    std::optional<Error> m_error;
};

/// What became of a change, and whether anything was sent.
struct SentChange
{
    PublishOutcome outcome;
    bool sent = false;
    std::optional<schema::ChangeResult> winner; ///< If in conflict and still known.
};

/// Publishes one change.
class ChangeSender
{
public:
    explicit ChangeSender(LogService &log);
    /// Publishes on an event loop of its own.
    SentChange send(schema::ConfigChange change, std::chrono::milliseconds deadline);

private:
    void step();
    void carryOut(const PublishAppend &append);
    void carryOut(const PublishRead &read);

    QObject m_context;
    LogService &m_log;
    std::unique_ptr<ChangePublisher> m_publisher;
    bool m_sent = false;
};

} // namespace Eelgrasscleat
