/// @file
/// What the parts of one permit ledger share: who it is, its durations, its peers, and how messages are made.
#pragma once

#include <eelgrasscleat/Admission/PermitLedger.h>

#include <map>

namespace Eelgrasscleat
{

/// State that both the lending and the borrowing side read.
struct LedgerContext
{
    PeerId self;
    LoanTiming timing;
    bool isBaseShareUsable = false;
    bool isStopped = false;
    std::map<InstanceName, IncarnationId> peers; ///< That can be asked now.
    std::uint64_t lastRequestId = 0;

    [[nodiscard]] bool isPeer(const PeerId &peer) const
    {
        const auto it = peers.find(peer.name);
        return it != peers.end() && it->second == peer.incarnation;
    }

    /// @returns a message from this instance to @p to, without its kind.
    [[nodiscard]] LedgerMessage makeMessage(const PeerId &to) const
    {
        LedgerMessage result { .to = to };
        result.message.set_from_instance(self.name.value);
        result.message.set_from_incarnation(self.incarnation.value);
        result.message.set_to_incarnation(to.incarnation.value);
        return result;
    }
};

} // namespace Eelgrasscleat
