/// @file
/// The parts of one entry instance and the way of events between them; the inside of EntryCore.
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

    /// Notices the time before anything is decided at it: whether this incarnation may still use its name's share.
    void observe(const ClockReading &clock);
    void startQueuedTasks(const ClockReading &clock, CoreActions &out);
    void tick(const ClockReading &clock, CoreActions &out);
    void beginStop(const ClockReading &clock, CoreActions &out);
    [[nodiscard]] bool isStopped() const;
    [[nodiscard]] bool isReady(const ClockReading &clock) const;
    [[nodiscard]] schema::EntryStatus status(const ClockReading &clock) const;

private:
    /// @returns why a caller can't be served, or nothing if it may act for its customer.
    [[nodiscard]] std::optional<schema::SubmissionAnswer>
    refusalOf(const CallerCredentials &identity, const std::string &key, const ClockReading &clock) const;
    void submit(const schema::Submission &submission,
                CallerId caller,
                bool forwarded,
                const ClockReading &clock,
                CoreActions &out);
    /// @returns a ticket for a caller's next submissions: this incarnation's, or a peer's while this one stops.
    [[nodiscard]] std::string nextTicket() const;
    void answerAll(const std::vector<QueryAnswer> &answers, CoreActions &out);
    void answer(CallerId caller, const schema::SubmissionAnswer &answer, CoreActions &out);
    /// Carries the actions of the submission table out, and those that follow from them.
    void carryOut(ExecutionActions &actions, const ClockReading &clock, CoreActions &out);
    void
    carryOutOne(const ExecutionAction &action, const ClockReading &clock, ExecutionActions &more, CoreActions &out);

    void submitForPeer(const PeerId &from,
                       const schema::ForwardSubmission &forward,
                       const ClockReading &clock,
                       CoreActions &out);
    void
    fetchForPeer(const PeerId &from, const schema::ForwardFetch &fetch, const ClockReading &clock, CoreActions &out);
    void cancelForPeer(const schema::ForwardCancel &cancel, const ClockReading &clock, CoreActions &out);
    void heartbeatFrom(const schema::PeerMessage &message, const ClockReading &clock, CoreActions &out);
    void keepAnswers(const schema::KeptAnswers &answers, const ClockReading &clock);
    void sendKeptAnswers(const ClockReading &clock, CoreActions &out);
    void handOver(const ClockReading &clock, CoreActions &out);
    void sendHeartbeats(const ClockReading &clock, CoreActions &out);
    void readLog(const ClockReading &clock, CoreActions &out);
    void configRead(const LogReadCompleted &event, const ClockReading &clock, CoreActions &out);
    void carryOutConfig(const std::vector<ConfigAction> &actions, const ClockReading &clock, CoreActions &out);
    void claimsRead(const LogReadCompleted &event, const ClockReading &clock, CoreActions &out);
    void incarnationsRead(const LogReadCompleted &event, const ClockReading &clock);
    void appendClaims(const ClockReading &clock, CoreActions &out);
    void followRegistration(const ClockReading &clock, CoreActions &out);
    [[nodiscard]] SlotShare slotShare() const;
    void followMembership(const ClockReading &clock);
    void sendLedgerMessages(std::vector<LedgerMessage> &messages, CoreActions &out) const;
    void setLogUsable(bool usable, const ClockReading &clock, CoreActions &out);

    schema::EntrySettings m_settings;
    PeerId m_self;
    CoreObserver &m_observer;
    RandomSource m_random;

    ConfigFollower m_follower;
    PeerTracker m_peers;
    NameHolder m_name;
    HeartbeatExchange m_exchange;
    Registration m_registration;
    TargetPresence m_presence;
    PermitLedger m_ledger;
    TaskQueue m_queue;
    std::unique_ptr<Placer> m_placer;
    SubmissionTable m_table;
    TaskDispatcher m_dispatcher;
    ConfigApplier m_applier;
    PeerForwards m_forwards;
    PeerQueries m_queries;
    ClaimWriter m_claims;
    StreamReader m_claimsReader;

    std::set<InstanceName> m_peerNames;
    std::set<InstanceName> m_zonePeers;
    std::vector<PeerId> m_lenders; ///< Live peers.
    std::vector<PeerId> m_staying; ///< Live peers that take new work, those of this zone first.
    NameState m_nameState = NameState::Unregistered;
    bool m_logUsable = false;
    bool m_stopping = false;
    bool m_handedOver = false;
    bool m_hasLeft = false; ///< The end of this incarnation is recorded, or need not be.
    std::optional<Instant> m_nextHeartbeat;
    std::optional<Instant> m_nextList;
    Instant m_refuseFrom; ///< Planned stop: new work is accepted until then.
    std::optional<Instant> m_leaveBy; ///< End of the attempts to record the clean end.
    std::uint64_t m_appliedVersion = 0;
};

} // namespace Eelgrasscleat
