/// @file
/// Partition of the CallerId space of an entry instance: even ids for HTTP requests, odd ids for peers' requests.
#pragma once

#include <eelgrasscleat/Support/Identifiers.h>

namespace Eelgrasscleat::CallerIds
{

/// @returns the id of the @p n-th request of a peer.
constexpr CallerId fromPeerRequest(std::uint64_t n)
{
    return CallerId(n * 2 + 1);
}

/// @returns the id of an HTTP request, given the id that the HTTP server assigned.
constexpr CallerId fromHttp(CallerId id)
{
    return CallerId(id.value * 2);
}

/// @returns the id that the HTTP server assigned to a request.
constexpr CallerId toHttp(CallerId caller)
{
    return CallerId(caller.value / 2);
}

} // namespace Eelgrasscleat::CallerIds
