/// @file
/// What clients can make an instance hold, derived from the memory and the descriptors of its machine.
#pragma once

#include <cstddef>
#include <cstdint>

namespace Eelgrasscleat
{

/// What one process may use; 0 if unknown.
struct ProcessCapacity
{
    std::uint64_t memoryBytes = 0;
    std::uint32_t descriptors = 0;
};

/// Bounds for the connections of one port, all together.
struct PortLimits
{
    std::size_t heldBytes = 0; ///< Memory: buffers, requests and answers.
    std::size_t connections = 0;
};

/// Bounds for each port that a client can reach.
struct ClientLimits
{
    PortLimits callers;
    PortLimits peers; ///< Connections that peers make to this instance.
    PortLimits status; ///< Readiness, and the same again for metrics.
    std::size_t jobBytes = 0; ///< Memory of the jobs that this instance dispatches, of callers and of peers.
};

/// Divides a process's capacity among the ports. The rest stays for the process itself and for its own connections.
/// @returns the limits, which are the same for all processes whose capacity is unknown.
ClientLimits clientLimits(const ProcessCapacity &capacity);

} // namespace Eelgrasscleat
