/// @file
/// Entry instances with their configuration and heartbeats in simulated time, and what they send.
#pragma once

#include <eelgrasscleat/Contract/ConfigFollower.h>
#include <eelgrasscleat/Membership/HeartbeatExchange.h>
#include <eelgrasscleat/Membership/Registration.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// What a run is made of.
struct FleetSetup
{
    std::size_t instances = 9;
    std::size_t zones = 3;
    Duration platformLatency = std::chrono::milliseconds(10); ///< Of one read, there and back.
    Duration peerLatency = std::chrono::milliseconds(2); ///< One way.
    bool zoneCutFromPlatform = false; ///< Zone 0 does not reach the platform.
};

/// What was counted.
struct FleetCounts
{
    std::uint64_t reads = 0; ///< Of both streams.
    std::uint64_t peerMessages = 0; ///< Without heartbeats.
    std::uint64_t snapshots = 0;
    std::uint64_t peerBytes = 0; ///< Messages between instances, each counted at the sender and at the receiver.
    std::uint64_t platformBytes = 0; ///< Bodies as JSON and HTTP headers, both ways.
};

/// Nine or more instances, a log without retention, and the network between them.
class Fleet
{
public:
    explicit Fleet(const FleetSetup &setup);
    ~Fleet();

    /// Appends one accepted change of one of 150 customers.
    void publish();
    /// Runs one step of 10 ms.
    void step();
    /// Replaces all instances at once.
    void restartAll();

    [[nodiscard]] Instant now() const;
    /// @returns the lowest offset that some instance has not applied yet.
    [[nodiscard]] std::uint64_t lowestOffset() const;
    /// @returns the number of instances that are ready.
    [[nodiscard]] std::size_t readyCount() const;
    /// @returns the offset after the newest record of the config stream.
    [[nodiscard]] std::uint64_t logEnd() const;
    /// @returns the page from @p from on, as the platform would send it.
    [[nodiscard]] schema::RecordPage page(std::uint64_t from) const;
    [[nodiscard]] const FleetCounts &counts() const;

private:
    struct Member;

    void start(std::size_t index);
    void later(Duration delay, std::size_t index, std::function<void(Member &)> event);
    void stepMember(std::size_t index);
    void perform(std::size_t index, const std::vector<ConfigAction> &actions);
    void read(std::size_t index, bool isConfig, std::uint64_t from);
    void sendHeartbeats(std::size_t index);
    void countMessage(const schema::PeerMessage &message);
    [[nodiscard]] std::size_t indexOf(const PeerId &peer) const;

    FleetSetup m_setup;
    RandomSource m_random { 1 };
    Instant m_now { std::chrono::seconds(1000) };
    FleetCounts m_counts;
    std::uint64_t m_version = 0;
    std::vector<std::string> m_config;
    std::vector<std::string> m_incarnations;
    std::multimap<Instant, std::function<void()>> m_events;
    std::vector<std::unique_ptr<Member>> m_members;
};

} // namespace Eelgrasscleat
