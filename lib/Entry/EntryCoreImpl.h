/// @file
/// Implementation of EntryCore: the components of an entry instance and the event handlers that connect them.
#pragma once

#include "ClaimWriter.h"
#include "ConfigApplier.h"
#include "PeerForwards.h"
#include "PeerQueries.h"
#include "StreamReader.h"
#include "TaskDispatcher.h"

#include <eelgrasscleat/Contract/ConfigFollower.h>
#include <eelgrasscleat/Entry/EntryCore.h>
#include <eelgrasscleat/Membership/HeartbeatExchange.h>
#include <eelgrasscleat/Membership/NameHolder.h>
#include <eelgrasscleat/Membership/PeerTracker.h>
#include <eelgrasscleat/Membership/Registration.h>
#include <eelgrasscleat/Membership/TargetPresence.h>

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Eelgrasscleat
{

class EntryCore::Impl
{
public:
    Impl(const schema::EntrySettings &settings,
         IncarnationId self,
         std::uint64_t seed,
         CoreObserver &observer,
         Instant startedAt);

    void handle(const SubmitRequested &event, const ClockReading &clock, CoreActions &out);
    void handle(const FetchRequested &event, const ClockReading &clock, CoreActions &out);
    void handle(const CancelRequested &event, const ClockReading &clock, CoreActions &out);
    void handle(const TicketRequested &event, const ClockReading &clock, CoreActions &out);
    void handle(const CallerDisconnected &event, const ClockReading &clock, CoreActions &out);
    void handle(const AttemptEnded &event, const ClockReading &clock, CoreActions &out);
    void handle(const PeerMessageReceived &event, const ClockReading &clock, CoreActions &out);
    void handle(const PeerStreamChanged &event, const ClockReading &clock, CoreActions &out);
    void handle(const LogReadCompleted &event, const ClockReading &clock, CoreActions &out);
    void handle(const LogAppendCompleted &event, const ClockReading &clock, CoreActions &out);
    void handle(const InstanceListReceived &event, const ClockReading &clock, CoreActions &out);

    /// Updates whether this incarnation may still use its name's share. Called before any decision at @p clock.
    void updateNameState(const ClockReading &clock);
    void startQueuedTasks(const ClockReading &clock, CoreActions &out);
    void tick(const ClockReading &clock, CoreActions &out);
    void beginStop(const ClockReading &clock, CoreActions &out);
    [[nodiscard]] bool isStopped() const;
    [[nodiscard]] bool isReady(const ClockReading &clock) const;
    [[nodiscard]] schema::EntryStatus status(const ClockReading &clock) const;

private:
    /// @returns the refusal, or nothing if this instance is ready and the caller may act for its customer.
    [[nodiscard]] std::optional<schema::SubmissionAnswer>
    refusalFor(const CallerCredentials &credentials, const std::string &key, const ClockReading &clock) const;
    void submit(const schema::Submission &submission,
                CallerId caller,
                bool forwarded,
                const ClockReading &clock,
                CoreActions &out);
    /// @returns the ticket for a caller's next submissions: that of this incarnation, or of a peer during a planned
    /// stop.
    [[nodiscard]] std::string nextTicket() const;
    void answerAll(const std::vector<QueryAnswer> &answers, CoreActions &out);
    void answer(CallerId caller, const schema::SubmissionAnswer &answer, CoreActions &out);
    /// Executes actions of the submission table, and transitively the actions that result from them.
    void execute(ExecutionActions &actions, const ClockReading &clock, CoreActions &out);
    void
    executeAction(const ExecutionAction &action, const ClockReading &clock, ExecutionActions &more, CoreActions &out);

    void submitForPeer(const PeerId &from,
                       const schema::ForwardSubmission &forward,
                       const ClockReading &clock,
                       CoreActions &out);
    void
    fetchForPeer(const PeerId &from, const schema::ForwardFetch &fetch, const ClockReading &clock, CoreActions &out);
    void cancelForPeer(const schema::ForwardCancel &cancel, const ClockReading &clock, CoreActions &out);
    void handleHeartbeat(const schema::PeerMessage &message, const ClockReading &clock, CoreActions &out);
    void importAnswers(const schema::KeptAnswers &answers, const ClockReading &clock);
    void sendCachedAnswers(const ClockReading &clock, CoreActions &out);
    void handOver(const ClockReading &clock, CoreActions &out);
    void sendHeartbeats(const ClockReading &clock, CoreActions &out);
    void startReads(const ClockReading &clock, CoreActions &out);
    void handleConfigRead(const LogReadCompleted &event, const ClockReading &clock, CoreActions &out);
    void executeConfigActions(const std::vector<ConfigAction> &actions, const ClockReading &clock, CoreActions &out);
    void handleClaimsRead(const LogReadCompleted &event, const ClockReading &clock, CoreActions &out);
    void handleIncarnationsRead(const LogReadCompleted &event, const ClockReading &clock);
    void appendClaims(const ClockReading &clock, CoreActions &out);
    void updateRegistration(const ClockReading &clock, CoreActions &out);
    [[nodiscard]] SlotShare slotShare() const;
    void updateMembership(const ClockReading &clock);
    void sendLedgerMessages(std::vector<LedgerMessage> &messages, CoreActions &out) const;
    void setLogUsable(bool usable, const ClockReading &clock, CoreActions &out);

    schema::EntrySettings m_settings;
    PeerId m_self;
    CoreObserver &m_observer;
    RandomSource m_random;

    ConfigFollower m_configFollower;
    PeerTracker m_peers;
    NameHolder m_nameHolder;
    HeartbeatExchange m_heartbeatExchange;
    Registration m_registration;
    TargetPresence m_targetPresence;
    PermitLedger m_ledger;
    TaskQueue m_queue;
    std::unique_ptr<Placer> m_placer;
    SubmissionTable m_submissions;
    TaskDispatcher m_dispatcher;
    ConfigApplier m_configApplier;
    PeerForwards m_forwards;
    PeerQueries m_queries;
    ClaimWriter m_claimWriter;
    StreamReader m_claimsReader;

    std::set<InstanceName> m_peerNames;
    std::set<InstanceName> m_zonePeerNames;
    std::vector<PeerId> m_livePeers; ///< Live peers, which may lend permits and answer queries.
    std::vector<PeerId> m_acceptingPeers; ///< Live peers that accept new work, those of this zone first.
    NameState m_nameState = NameState::Unregistered;
    bool m_logUsable = false;
    bool m_stopping = false;
    bool m_handedOver = false;
    bool m_hasLeft = false; ///< Whether the end of this incarnation is recorded, or needn't be.
    std::optional<Instant> m_nextHeartbeat;
    std::optional<Instant> m_nextListRead;
    Instant m_acceptUntil; ///< During a planned stop, new work is accepted until this time.
    std::optional<Instant> m_leaveDeadline; ///< Time limit for recording the clean end of this incarnation.
    std::uint64_t m_appliedVersion = 0;
};

} // namespace Eelgrasscleat
