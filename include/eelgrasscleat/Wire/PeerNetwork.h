/// @file
/// Messages between entry instances: one HTTP/2 connection (nghttp2) to each peer, on it one long request whose body
/// carries length-delimited protobuf messages. Messages go one way; a peer answers on its own connection. They may be
/// lost when a connection breaks, and arrive in order while it stands.
#pragma once

#include <eelgrasscleat/Support/Error.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Schema.h>

#include <peer.pb.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Eelgrasscleat
{

/// Where a peer listens.
struct PeerEndpoint
{
    InstanceName name;
    std::string address; ///< IP number.
    std::uint16_t port = 0;
    bool operator==(const PeerEndpoint &) const = default;
};

/// Time limits of the connections between instances.
struct PeerTiming
{
    /// Time for a connection to be made.
    std::chrono::milliseconds connect { 2000 };
    /// Wait before connecting again, doubled at each failure up to the longest.
    std::chrono::milliseconds shortestReconnect { 100 };
    std::chrono::milliseconds longestReconnect { 2000 };
    /// A connection breaks when bytes stay unacknowledged for this long; 0: as long as the kernel tries.
    std::chrono::milliseconds unacknowledged { 0 };
};

/// Bounds on what all incoming connections together can take: anyone who reaches the port can make one.
struct PeerLimits
{
    std::size_t connections = 1024;
    /// Memory. Above it connections are closed, first those with a large unfinished message, then those on which no
    /// message has come.
    std::size_t heldBytes = std::size_t { 256 } * 1024 * 1024;
};

/// What the network calls, on its own thread.
class PeerNetworkHandler
{
public:
    virtual ~PeerNetworkHandler() = default;
    /// A message arrived.
    virtual void peerMessageArrived(schema::PeerMessage message) = 0;
    /// The connection to a peer came up or broke.
    virtual void peerStreamChanged(const InstanceName &peer, bool up) = 0;
    /// A message was dropped: the peer is not connected, or takes messages too slowly.
    virtual void peerMessageDropped(const InstanceName &peer) = 0;
    /// A peer's connection was closed because of what it sent.
    virtual void peerProtocolError(const Error &error) = 0;
};

/// Bytes of messages sent and received, for the control budget.
struct PeerTraffic
{
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

/// The network. Lives on a thread with a Qt event loop.
class PeerNetwork
{
public:
    /// @param self stamped as the sender of each message
    /// @param peers all other entry instances
    PeerNetwork(PeerNetworkHandler &handler,
                PeerId self,
                std::vector<PeerEndpoint> peers,
                const PeerTiming &timing = {},
                const PeerLimits &limits = {});
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    /// Listens for peers and starts to connect to them.
    /// @returns the port, or an error with step Connect.
    Result<std::uint16_t> start(const std::string &address, std::uint16_t port);
    /// Replaces the set of peers: connects to new ones, and drops the connections to those that are gone or moved.
    void setPeers(const std::vector<PeerEndpoint> &peers);
    /// Breaks the connection to a peer, which is then made again. May be called from the handler.
    void resetConnection(const InstanceName &peer);
    /// Breaks all connections: no message that was under way in either direction is delivered any more. May be called
    /// from the handler.
    void resetConnections();
    /// Makes a connection attempt that takes long start anew: the peer was heard, so it is there now. May be called
    /// from the handler.
    void hurry(const InstanceName &peer);
    /// Sends a message if the peer is connected.
    void send(const InstanceName &peer, schema::PeerMessage message);
    /// @returns whether all messages have been handed to the kernel.
    [[nodiscard]] bool isFlushed() const;
    /// @returns the bytes so far.
    [[nodiscard]] PeerTraffic traffic() const;
    /// @returns the number of incoming connections that were closed because of PeerLimits.
    [[nodiscard]] std::uint64_t connectionsEvicted() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace Eelgrasscleat
