/// @file
/// One EntryCore with a log that answers at once and peers that only send heartbeats: enough to measure what it costs.
#pragma once

#include <eelgrasscleat/Entry/EntryCore.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Size of the deployment around the measured instance.
struct DeploymentSize
{
    std::size_t customers = 3;
    std::size_t targets = 50; ///< In the instance's own zone.
    std::size_t peers = 8;
};

/// Bytes that the instance exchanged, as serialized messages and records without transport.
struct ControlBytes
{
    std::uint64_t toPeers = 0;
    std::uint64_t toLog = 0;
};

/// The driver.
class CoreDriver : public CoreObserver
{
public:
    explicit CoreDriver(const DeploymentSize &size);

    /// Moves simulated time on, in ticks of 10 ms, with heartbeats of all peers.
    void run(Duration time);
    /// Submits jobs of `tasks` tasks that end at once, until `count` tasks have run.
    void runTasks(std::size_t count, int tasks);
    /// Submits jobs whose tasks stay queued, until `count` tasks wait.
    void queueTasks(std::size_t count, int tasks);
    /// Lets the instance read `count` claims of other instances.
    void readClaims(std::size_t count);
    [[nodiscard]] const ControlBytes &bytes() const;
    [[nodiscard]] std::size_t starts() const;

    void callerAnswered(schema::FailureReason reason) override;
    void taskStarted() override;
    void attemptEnded(AttemptOutcome outcome) override;
    void retryDecided(RetryDecision decision) override;
    void submissionForwarded() override;
    void configApplied(std::uint64_t version) override;
    void platformCallFailed(const Error &error) override;

private:
    void publish(const DeploymentSize &size);
    void submit(int tasks);
    void drain(CoreActions &actions);
    void handle(const CoreEvent &event);
    void heartbeats();
    [[nodiscard]] schema::RecordPage page(LogStream stream, std::uint64_t from) const;

    DeploymentSize m_size;
    ClockReading m_clock { Instant(std::chrono::hours(1)),
                           WallTime(std::chrono::hours(400000)) }; ///< Before m_core, which starts at its time.
    std::unique_ptr<EntryCore> m_core;
    std::map<LogStream, std::vector<std::string>> m_log;
    std::vector<AttemptId> m_open;
    std::vector<CoreEvent> m_events;
    ControlBytes m_bytes;
    std::uint64_t m_lastKey = 0;
    std::uint64_t m_heartbeat = 0;
    std::size_t m_starts = 0;
};

} // namespace Eelgrasscleat
