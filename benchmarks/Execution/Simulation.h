/// @file
/// Simulated instances, network, log and callers, on which the ways to start a submission once are compared. Time is
/// simulated; the inputs are the constants below.
#pragma once

#include <eelgrasscleat/Support/Digest.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Random.h>
#include <eelgrasscleat/Support/Time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

inline constexpr Duration InZoneHop = std::chrono::microseconds(300);
inline constexpr Duration CrossZoneHop = std::chrono::microseconds(1500);
inline constexpr Duration AppendTime = std::chrono::milliseconds(5);
inline constexpr Duration AppendSpacing = std::chrono::microseconds(2500); ///< 400 appends a second.
inline constexpr Duration ReadTime = std::chrono::milliseconds(1);
inline constexpr Duration ServiceTime = std::chrono::milliseconds(100);

/// Size, load and faults of one run.
struct Scenario
{
    std::size_t zones = 3;
    std::size_t instancesPerZone = 3;
    double submissionsPerSecond = 300;
    Duration length = std::chrono::seconds(10);
    bool randomFaults = false; ///< Racks die and return, zones are cut off, the platform has outages.
    bool cutFromZones = false; ///< Zone 0, for the whole run.
    bool cutFromPlatform = false; ///< Zone 0, for the whole run.
};

/// How a submission ended for its caller.
enum class CallerEnd
{
    Unanswered,
    Complete,
    NotRun,
    Unknown, ///< It may have run.
};

/// One submission and its caller.
struct SimulatedCaller
{
    std::size_t zone = 0;
    Instant arrival;
    IncarnationId ticketHome; ///< From the caller's last answer.
    double ticketDraw = 0; ///< Decides whether this caller has a ticket.
    int tries = 0;
    int starts = 0;
    CallerEnd end = CallerEnd::Unanswered;
    Duration added {}; ///< Response time beyond the service time.
    bool homeDied = false; ///< The instance that started it died before its end.
};

/// One entry instance.
struct SimulatedInstance
{
    std::size_t zone = 0;
    IncarnationId incarnation;
    bool alive = true;
};

/// A record of the claims stream.
struct ClaimRecord
{
    IncarnationId claimant;
    std::vector<Digest> digests;
    std::size_t bytes = 0; ///< As read over HTTP.
};

class Simulation;

/// A way to start each submission once.
class StartOnceWay
{
public:
    virtual ~StartOnceWay() = default;
    /// The caller's request reaches an instance.
    virtual void submit(std::size_t caller, std::size_t at) = 0;
    /// The instance has a new incarnation, and has forgotten everything.
    virtual void restarted(std::size_t at) = 0;
    /// Whether the instance reaches the platform has changed.
    virtual void platformChanged(std::size_t at) = 0;
    /// Records of the log up to @p end can be read by the instance.
    virtual void readLog(std::size_t at, std::size_t end) = 0;
};

/// Figures of one run.
struct RunFigures
{
    std::uint64_t submissions = 0;
    std::uint64_t doubleStarts = 0;
    double addedP50Ms = 0;
    double addedP99Ms = 0;
    double appendsPerSecond = 0;
    double controlBytesPerNode = 0; ///< A second: messages and records that carry no work.
    double zoneServedShare = 0; ///< Of the submissions of zone 0.
    double unknownShareOfDied = 0; ///< Of those whose home died on them.
    double unknownShareOfAll = 0;
};

/// The simulation.
class Simulation
{
public:
    Simulation(const Scenario &scenario, std::uint64_t seed);

    /// Runs the scenario with one way.
    RunFigures run(StartOnceWay &way);

    [[nodiscard]] Instant now() const
    {
        return m_now;
    }
    [[nodiscard]] ClockReading clock() const;
    [[nodiscard]] const std::vector<SimulatedInstance> &instances() const
    {
        return m_instances;
    }
    [[nodiscard]] SimulatedCaller &caller(std::size_t number)
    {
        return m_callers[number];
    }
    [[nodiscard]] const std::vector<ClaimRecord> &log() const
    {
        return m_log;
    }

    /// Calls @p action after @p delay.
    void after(Duration delay, std::function<void()> action);
    /// Calls @p action after @p delay, unless the instance has died by then.
    void afterAt(std::size_t at, Duration delay, std::function<void()> action);
    /// Sends a message. @p lost is called at the sender if it does not arrive.
    void send(std::size_t from,
              std::size_t to,
              std::size_t controlBytes,
              std::function<void()> arrived,
              std::function<void()> lost);
    /// @returns whether the instance reaches the platform.
    [[nodiscard]] bool reachesPlatform(std::size_t at) const;
    /// Appends claims. @p done says whether anything was written.
    void append(std::size_t at, const ClaimRecord &record, std::function<void(bool)> done);
    /// Counts bytes that an instance received for control.
    void countBytes(std::size_t bytes)
    {
        m_controlBytes += bytes;
    }

    /// A task of the submission starts at an instance.
    void started(std::size_t caller, std::size_t at);
    /// The submission's caller is answered. @p retry whether the answer asks for another try
    void answered(std::size_t caller, std::size_t at, CallerEnd end, bool retry);

private:
    struct Event
    {
        Instant at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void arrive();
    void request(std::size_t caller);
    void scheduleFaults();
    void killRack();
    void restart(std::size_t at);
    void setPlatformDown(bool down);
    void poll(std::size_t at);
    [[nodiscard]] bool areCut(std::size_t first, std::size_t second) const;
    [[nodiscard]] std::size_t drawInstance(std::size_t zone);
    [[nodiscard]] RunFigures figures() const;

    Scenario m_scenario;
    RandomSource m_random;
    StartOnceWay *m_way = nullptr;
    Instant m_now { std::chrono::hours(1) };
    Instant m_stop;
    std::uint64_t m_events = 0;
    std::priority_queue<Event> m_queue;
    std::vector<SimulatedInstance> m_instances;
    std::uint64_t m_lastIncarnation = 0;
    std::vector<SimulatedCaller> m_callers;
    std::vector<std::vector<IncarnationId>> m_tickets; ///< Last tickets given out, by zone.
    std::vector<std::size_t> m_executors; ///< Instance that started each caller's submission last.
    std::vector<ClaimRecord> m_log;
    Instant m_nextAppend;
    std::uint64_t m_appends = 0;
    std::uint64_t m_controlBytes = 0;
    bool m_platformDown = false;
    std::vector<bool> m_zoneCut;
};

} // namespace Eelgrasscleat
