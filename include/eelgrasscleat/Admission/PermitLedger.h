/// @file
/// Distributed concurrency limits. Each entry instance owns a base share of the permits of every limit and lends unused
/// permits to its peers. A loan expires by the borrower's clock; the lender counts a lent permit as in use until it is
/// returned, or until the loan's duration and the maximum run time of a task have elapsed. A lost message can therefore
/// delay the reuse of a permit but never exceed a limit. The class reads no clock, starts no thread and opens no
/// socket.
#pragma once

#include <eelgrasscleat/Admission/ShareLayout.h>
#include <eelgrasscleat/Support/Identifiers.h>
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Time.h>

#include <peer.pb.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace Eelgrasscleat
{

/// A message to be sent to a peer.
struct LedgerMessage
{
    PeerId to;
    schema::PeerMessage message;
};

/// Identifies the base share or loan that a permit was acquired from. Passed to release().
struct Permit
{
    ResourceName resource;
    LoanId loan; ///< None if the permit belongs to the base share.
    IncarnationId lender; ///< Lender of the loan.
    Instant startBefore; ///< Deadline for sending the start; after it the permit must be released unused.
};

/// Durations that control loans and base shares.
struct LoanTiming
{
    Duration duration {}; ///< Duration of a loan, measured on the borrower's clock.
    Duration startMargin {}; ///< Minimum time between sending a start and the expiry of its loan.
    Duration clockDriftMargin {}; ///< Added by the lender to allow for clocks that run at different rates.
};

/// Acquires, lends and borrows the permits of one entry instance.
class PermitLedger
{
public:
    PermitLedger(PeerId self, ShareLayout layout, LoanTiming timing);
    ~PermitLedger();
    PermitLedger(const PermitLedger &) = delete;
    PermitLedger &operator=(const PermitLedger &) = delete;

    /// Sets or changes the limit of a resource. Permits above a lowered limit stay valid until they are released.
    /// @param maxRunTime upper bound on the run time of work that holds a permit
    void setLimit(const ResourceName &resource, std::uint32_t limit, Duration maxRunTime, Instant now);
    /// Removes a resource. Permits in use may still be released later.
    void removeLimit(const ResourceName &resource);

    /// Sets whether this incarnation may use the base share of its instance name (see NameHolder).
    void setBaseShareUsable(bool usable, Instant now);
    /// Sets the peers that loans can be requested from, with their current incarnations. Loans from a replaced
    /// incarnation stay valid until they expire; loans to it are reclaimed when they expire.
    void setPeers(const std::vector<PeerId> &peers);

    /// Acquires a permit. @returns std::nullopt if none is free.
    [[nodiscard]] std::optional<Permit> tryAcquire(const ResourceName &resource, Instant now);
    /// Releases a permit whose work has ended or was never started.
    void release(const Permit &permit, Instant now);
    /// Releases a permit whose work may still be running. The permit becomes free once the maximum run time after
    /// @p startedAt has elapsed.
    void releaseAfterMaxRunTime(const Permit &permit, Instant startedAt, Instant now);

    /// Sets how many tasks wait for a permit of a resource; tick() requests loans accordingly.
    void setWaiting(const ResourceName &resource, std::uint32_t waiting);

    /// Handles a loan request, grant, renewal or return from a peer.
    void receive(const PeerId &from, const schema::PeerMessage &message, Instant now, std::vector<LedgerMessage> &out);
    /// Requests, renews, returns and reclaims loans. Must be called at least every tenth of a loan's duration.
    void tick(Instant now, std::vector<LedgerMessage> &out);
    /// Begins a graceful shutdown: returns all unused borrowed permits and stops granting and requesting loans.
    void stop(Instant now, std::vector<LedgerMessage> &out);

    /// @returns the number of permits in use on this instance.
    [[nodiscard]] std::uint32_t inUse(const ResourceName &resource) const;
    /// @returns the number of permits that can be acquired at @p now.
    [[nodiscard]] std::uint32_t free(const ResourceName &resource, Instant now) const;
    /// @returns the number of lent permits not yet returned or reclaimed.
    [[nodiscard]] std::uint32_t lent(const ResourceName &resource) const;
    /// @returns the number of borrowed permits that are valid at @p now.
    [[nodiscard]] std::uint32_t borrowed(const ResourceName &resource, Instant now) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace Eelgrasscleat
