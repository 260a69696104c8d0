/// @file
/// Shares of the ports in a process's capacity.
#include <eelgrasscleat/Node/ClientLimits.h>

#include <algorithm>

namespace Eelgrasscleat
{

namespace
{

/// Capacity that is assumed where none is known.
constexpr ProcessCapacity kUnknownCapacity { std::uint64_t { 256 } * 1024 * 1024, 4096 };
/// Descriptors that a machine keeps for files.
constexpr std::uint32_t kFileDescriptors = 200;
/// Parts of the memory: a third for callers, an eighth for peers, and an eighth for jobs.
constexpr std::uint64_t kCallerMemoryParts = 3;
constexpr std::uint64_t kPeerMemoryParts = 8;
constexpr std::uint64_t kJobMemoryParts = 8;
/// Parts of the descriptors: half for callers, and a quarter for peers.
constexpr std::uint32_t kCallerDescriptorParts = 2;
constexpr std::uint32_t kPeerDescriptorParts = 4;
constexpr std::size_t kMaxCallerConnections = 4000;
constexpr std::size_t kMinConnections = 16;
/// The balancer and whoever collects metrics need a connection or two each.
constexpr PortLimits kStatusLimits { std::size_t { 4 } * 1024 * 1024, 32 };

} // namespace

ClientLimits clientLimits(const ProcessCapacity &capacity)
{
    const std::uint64_t memory = capacity.memoryBytes > 0 ? capacity.memoryBytes : kUnknownCapacity.memoryBytes;
    const std::uint32_t all = capacity.descriptors > 0 ? capacity.descriptors : kUnknownCapacity.descriptors;
    const std::uint32_t sockets = all - std::min(all, kFileDescriptors);
    const auto connections = [sockets](std::uint32_t parts) {
        return std::clamp<std::size_t>(sockets / parts, kMinConnections, kMaxCallerConnections);
    };
    ClientLimits limits;
    limits.callers = { memory / kCallerMemoryParts, connections(kCallerDescriptorParts) };
    limits.peers = { memory / kPeerMemoryParts, connections(kPeerDescriptorParts) };
    limits.status = kStatusLimits;
    limits.jobBytes = memory / kJobMemoryParts;
    return limits;
}

} // namespace Eelgrasscleat
