/// @file
/// Nine permit ledgers in three zones in simulated time, with the traffic of each counted.
#pragma once

#include <eelgrasscleat/Admission/PermitLedger.h>

#include <map>
#include <memory>
#include <string>

namespace Eelgrasscleat
{

constexpr std::size_t InstanceCount = 9;
constexpr std::size_t ZoneCount = 3;
constexpr Duration TickTime = std::chrono::milliseconds(50);
constexpr Duration LongestRun = std::chrono::seconds(10);
constexpr LoanTiming BenchmarkTimes { .duration = std::chrono::seconds(4),
                                      .startMargin = std::chrono::milliseconds(50),
                                      .clockDriftMargin = std::chrono::milliseconds(200) };

/// Messages and bytes that one instance has sent.
struct Traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// @returns the layout of nine instances in three zones.
ShareLayout benchmarkLayout();

/// @returns the name of customer number @p index.
ResourceName customerName(std::size_t index);

/// The ledgers and the network between them.
class LedgerCluster
{
public:
    LedgerCluster(std::size_t customers, std::uint32_t limit);

    /// Lets @p time pass: messages arrive, and each instance ticks.
    void advance(Duration time);
    void cutZone(std::size_t zone);
    void kill(std::size_t instance);

    [[nodiscard]] PermitLedger &ledger(std::size_t instance);
    [[nodiscard]] bool isAlive(std::size_t instance) const;
    [[nodiscard]] Instant now() const;
    /// @returns the permits that an instance uses or could use.
    [[nodiscard]] std::uint32_t usable(std::size_t instance, const ResourceName &customer) const;
    [[nodiscard]] const Traffic &traffic(std::size_t instance) const;
    void resetTraffic();

private:
    struct Node
    {
        PeerId id;
        std::size_t zone = 0;
        std::unique_ptr<PermitLedger> ledger;
        bool isAlive = true;
        Traffic sent;
    };
    struct Envelope
    {
        std::size_t from = 0;
        std::size_t to = 0;
        schema::PeerMessage message;
    };

    void send(std::size_t from, std::vector<LedgerMessage> &messages);
    void deliver(const Envelope &envelope);
    void tickAll();
    void updatePeers();
    [[nodiscard]] bool isCut(std::size_t a, std::size_t b) const;

    std::vector<Node> m_nodes;
    std::multimap<Instant, Envelope> m_network;
    Instant m_now;
    Instant m_nextTick;
    std::size_t m_cutZone = ZoneCount; ///< None.
};

} // namespace Eelgrasscleat
