/// @file
/// Construction of the parts, time-driven work, and the actions that follow from submissions. Callers' events are in
/// CallerEvents.cpp, peers' in PeerEvents.cpp, the platform's in PlatformEvents.cpp.
#include <eelgrasscleat/Entry/EntryCore.h>

#include "CallerNumbers.h"
#include "EntryState.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <string_view>
#include <utility>

namespace Eelgrasscleat
{

/// How long a stopping instance tries to record its clean end. Without the record its successor only waits longer.
static constexpr Duration LeaveRecordTime = std::chrono::seconds(3);

/// How far a caller's clock may be ahead of ours.
static constexpr Duration MaxCallerSkew = std::chrono::minutes(5);

/// Share of a loan's duration that is kept free at its end for a start on its way.
static constexpr int StartMarginDivisor = 10;

/// Time without an answer after which a forward to a home is repeated.
static constexpr Duration RepeatForward = std::chrono::seconds(2);

/// How long a target's own refusal outweighs a list that still shows it as live.
static constexpr Duration RefusalMemory = std::chrono::seconds(30);

/// Heartbeat intervals that a successor of a name waits for its first heartbeats to reach all peers.
static constexpr int HeartbeatsToAnnounce = 3;

/// Heartbeats that a peer may miss before it counts as unreachable.
static constexpr int MissedHeartbeats = 4;

/// Time beyond a task's longest run that its end on a target may take.
static constexpr Duration RunSlack = std::chrono::seconds(1);

/// Shortest time between two reads of the incarnations; names change far more rarely than the configuration.
static constexpr Duration ShortestNamePoll = std::chrono::seconds(1);

/// Time between reads of the claims when nothing is wanted sooner.
static constexpr Duration IdleReadInterval = std::chrono::seconds(2);

static Duration milliseconds(std::uint32_t count)
{
    return std::chrono::milliseconds(count);
}

static constexpr std::array<std::string_view, 5> NameStateNames = {
    "unregistered", "waiting", "held", "unconfirmed", "replaced"
};

static std::string_view nameStateName(NameState state)
{
    const auto index = static_cast<std::size_t>(state);
    assert(index < NameStateNames.size() && "every state has a name");
    return NameStateNames[index];
}

static ShareLayout layoutOf(const schema::EntrySettings &settings)
{
    std::vector<ConfiguredInstance> instances;
    for (const auto &it : settings.peers()) {
        instances.push_back(ConfiguredInstance { InstanceName(it.name()), ZoneName(it.zone()) });
    }
    const bool listed = std::any_of(instances.begin(), instances.end(), [&settings](const ConfiguredInstance &it) {
        return it.name.value == settings.name();
    });
    if (!listed) {
        instances.push_back(ConfiguredInstance { InstanceName(settings.name()), ZoneName(settings.zone()) });
    }
    return ShareLayout(std::move(instances));
}

/// @returns how many entry instances of its zone are configured, this one included.
static std::uint32_t instancesInZone(const schema::EntrySettings &settings)
{
    const ShareLayout layout = layoutOf(settings);
    const auto &holders = layout.instances();
    return static_cast<std::uint32_t>(std::count_if(holders.begin(), holders.end(), [&](const ConfiguredInstance &it) {
        return it.zone.value == settings.zone();
    }));
}

static LoanTiming ledgerTimesOf(const schema::DispatchSettings &settings)
{
    const Duration loan = milliseconds(settings.loan_ms());
    return LoanTiming { loan, loan / StartMarginDivisor, loan / StartMarginDivisor };
}

static NameHolderTimes nameTimesOf(const schema::DispatchSettings &settings)
{
    NameHolderTimes times;
    times.confirmWithin = milliseconds(settings.heartbeat_ms()) * MissedHeartbeats;
    times.freezeGap = milliseconds(settings.freeze_ms());
    times.margin = std::max(milliseconds(settings.loan_ms()) / StartMarginDivisor,
                            milliseconds(settings.heartbeat_ms()) * HeartbeatsToAnnounce);
    // A predecessor's loans go on until their end, and work may start in their last moment.
    times.longestRun = milliseconds(settings.loan_ms()) + milliseconds(settings.longest_run_ms()) + RunSlack;
    return times;
}

static SubmissionTableSettings tableSettingsOf(const schema::DispatchSettings &settings)
{
    SubmissionTableSettings table;
    table.keptAnswers = settings.kept_answers();
    table.keepAnswer = milliseconds(settings.keep_answer_ms());
    table.maxAge = milliseconds(settings.submission_age_ms());
    table.maxSkew = MaxCallerSkew;
    table.retryBudget = settings.retry_budget();
    return table;
}

static RegistrationTimes registrationTimesOf(const schema::EntrySettings &settings)
{
    RegistrationTimes times;
    times.pollInterval = std::max(milliseconds(settings.platform().poll_ms()), ShortestNamePoll);
    return times;
}

static ConfigFollowerTimes followerTimesOf(const schema::EntrySettings &settings)
{
    ConfigFollowerTimes times;
    times.pollInterval = milliseconds(settings.platform().poll_ms());
    return times;
}

EntryCore::State::State(const schema::EntrySettings &settings,
                        IncarnationId self,
                        std::uint64_t seed,
                        CoreObserver &observer,
                        Instant startedAt)
    : m_settings(settings)
    , m_self { InstanceName(settings.name()), self }
    , m_observer(observer)
    , m_random(seed)
    , m_follower(followerTimesOf(settings), startedAt)
    , m_peers(m_self, milliseconds(settings.dispatch().heartbeat_ms()) * MissedHeartbeats)
    , m_name(m_self, nameTimesOf(settings.dispatch()))
    , m_exchange(m_name, m_peers)
    , m_registration(ZoneName(settings.zone()), registrationTimesOf(settings), m_name, m_peers)
    , m_presence(RefusalMemory)
    , m_ledger(m_self, layoutOf(settings), ledgerTimesOf(settings.dispatch()))
    , m_queue(settings.dispatch().queued_tasks())
    , m_placer(makeAdaptivePlacer(AdaptivePlacerSettings { settings.dispatch().message_weight() }))
    , m_table(self, tableSettingsOf(settings.dispatch()))
    , m_dispatcher(DispatcherParts { m_table, m_queue, m_ledger, *m_placer, m_follower.state(), m_random },
                   settings.dispatch().ring_entries(),
                   instancesInZone(settings),
                   std::chrono::milliseconds(settings.dispatch().longest_run_ms()))
    , m_applier(ZoneName(settings.zone()),
                milliseconds(settings.dispatch().longest_run_ms()),
                m_ledger,
                m_queue,
                *m_placer,
                m_presence)
    , m_forwards(m_self, RepeatForward)
    , m_claims(self, milliseconds(settings.platform().append_interval_ms()))
    , m_claimsReader(IdleReadInterval)
{
    for (const auto &it : settings.peers()) {
        if (it.name() != settings.name()) {
            m_peerNames.insert(InstanceName(it.name()));
            if (it.zone() == settings.zone()) {
                m_zonePeers.insert(InstanceName(it.name()));
            }
        }
    }
    m_placer->setSlotShare(slotShare());
}

void EntryCore::State::answer(CallerId caller, const schema::SubmissionAnswer &answer, CoreActions &out)
{
    if (m_forwards.answerQuestion(caller, answer, out)) {
        return;
    }
    m_observer.answered(answer.reason());
    AnswerCaller action { caller, answer };
    action.answer.set_ticket(nextTicket());
    out.emplace_back(std::move(action));
}

std::string EntryCore::State::nextTicket() const
{
    if (!m_stopping) {
        return ticketOf(m_self.incarnation);
    }
    return m_staying.empty() ? std::string() : ticketOf(m_staying.front().incarnation);
}

void EntryCore::State::answerAll(const std::vector<QueryAnswer> &answers, CoreActions &out)
{
    for (const QueryAnswer &it : answers) {
        answer(it.caller, it.answer, out);
    }
}

void EntryCore::State::carryOut(ExecutionActions &actions, const ClockReading &clock, CoreActions &out)
{
    while (!actions.empty()) {
        ExecutionActions more;
        for (const ExecutionAction &it : actions) {
            carryOutOne(it, clock, more, out);
        }
        actions.swap(more);
    }
}

void EntryCore::State::carryOutOne(const ExecutionAction &action,
                                   const ClockReading &clock,
                                   ExecutionActions &more,
                                   CoreActions &out)
{
    if (const auto *claim = std::get_if<AppendClaim>(&action)) {
        m_claims.add(claim->digest);
    } else if (const auto *forward = std::get_if<ForwardToHome>(&action)) {
        m_observer.forwarded();
        m_forwards.forward(*forward, m_peers, m_table, clock, more, out);
    } else if (const auto *cancel = std::get_if<ForwardCancelToHome>(&action)) {
        m_forwards.forwardCancel(*cancel, m_peers, out);
    } else if (const auto *tasks = std::get_if<EnqueueTasks>(&action)) {
        m_dispatcher.enqueue(*tasks, clock, more);
    } else if (const auto *ended = std::get_if<WithdrawTasks>(&action)) {
        m_dispatcher.withdraw(ended->submission);
    } else if (const auto *answered = std::get_if<AnswerCaller>(&action)) {
        answer(answered->caller, answered->answer, out);
    }
}

void EntryCore::State::handle(const AttemptEnded &event, const ClockReading &clock, CoreActions &out)
{
    ExecutionActions actions;
    m_observer.attemptEnded(event.outcome);
    const AttemptReport report = m_dispatcher.attemptEnded(event, clock, actions);
    if (report.retry) {
        m_observer.retryDecided(*report.retry);
    }
    if (report.leaving) {
        m_presence.refusedLeaving(*report.leaving, clock.now);
    }
    if (report.ran) {
        m_presence.ranTask(*report.ran, report.startedAt);
    }
    carryOut(actions, clock, out);
}

void EntryCore::State::pump(const ClockReading &clock, CoreActions &out)
{
    ExecutionActions actions;
    const auto before = m_dispatcher.starts();
    m_dispatcher.pump(clock, actions, out);
    for (auto n = before; n < m_dispatcher.starts(); ++n) {
        m_observer.taskStarted();
    }
    carryOut(actions, clock, out);
}

void EntryCore::State::observe(const ClockReading &clock)
{
    m_nameState = m_name.step(clock.now);
    m_ledger.setBaseShareUsable(m_nameState == NameState::Held && !m_handedOver, clock.now);
}

void EntryCore::State::tick(const ClockReading &clock, CoreActions &out)
{
    if (m_nameState == NameState::Replaced && !m_stopping) {
        stop(clock, out);
    }
    carryOutConfig(m_follower.tick(clock.now, m_random), clock, out);
    followMembership(clock);
    readLog(clock, out);
    appendClaims(clock, out);
    followRegistration(clock, out);

    ExecutionActions actions;
    m_table.tick(clock, actions);
    m_dispatcher.tick(clock, actions);
    m_forwards.tick(m_peers, m_table, clock, actions, out);
    carryOut(actions, clock, out);
    answerAll(m_queries.tick(m_peers, clock.now), out);

    std::vector<LedgerMessage> messages;
    m_ledger.tick(clock.now, messages);
    sendLedgerMessages(messages, out);
    sendHeartbeats(clock, out);
    handOver(clock, out);
    if (m_leaveBy && clock.now >= *m_leaveBy) {
        m_leaveBy.reset();
    }
}

/// @returns this instance's place among the live instances of its zone, which share the zone's targets.
SlotShare EntryCore::State::slotShare() const
{
    SlotShare share;
    for (const PeerId &it : m_lenders) {
        if (m_zonePeers.contains(it.name)) {
            ++share.instances;
            share.index += it.name < m_self.name ? 1 : 0;
        }
    }
    return share;
}

void EntryCore::State::followMembership(const ClockReading &clock)
{
    std::vector<PeerId> lenders;
    m_staying.clear();
    for (const PeerState &it : m_peers.alive(clock.now)) {
        lenders.push_back(it.id);
        if (!it.leaving) {
            m_staying.insert(m_zonePeers.contains(it.id.name) ? m_staying.begin() : m_staying.end(), it.id);
        }
    }
    if (lenders != m_lenders) {
        m_ledger.setPeers(lenders);
        m_lenders = std::move(lenders);
        m_placer->setSlotShare(slotShare());
    }
    for (const PresenceChange &it : m_presence.takeChanges(clock.now)) {
        m_placer->setLeaving(it.target, it.leaving, clock.now);
    }
}

void EntryCore::State::sendLedgerMessages(std::vector<LedgerMessage> &messages, CoreActions &out) const
{
    for (LedgerMessage &it : messages) {
        out.emplace_back(SendToPeer { it.to.name, std::move(it.message) });
    }
}

void EntryCore::State::stop(const ClockReading &clock, CoreActions &out)
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    // Callers are refused only after the balancer had time to see that this instance is not ready.
    m_refuseFrom = clock.now + milliseconds(m_settings.dispatch().stop_grace_ms());
    m_nextHeartbeat.reset();
    sendHeartbeats(clock, out);
}

/// Once all accepted work has ended: gives permits, answers and the name to those that stay.
void EntryCore::State::handOver(const ClockReading &clock, CoreActions &out)
{
    if (!m_stopping || m_handedOver || clock.now < m_refuseFrom) {
        return;
    }
    m_table.stopAccepting();
    if (m_table.unfinished() > 0 || m_dispatcher.inFlight() > 0) {
        return;
    }
    m_handedOver = true;
    std::vector<LedgerMessage> messages;
    m_ledger.stop(clock.now, messages);
    sendLedgerMessages(messages, out);
    sendKeptAnswers(clock, out);
    m_leaveBy = clock.now + LeaveRecordTime;
    m_registration.leave();
    followRegistration(clock, out);
}

bool EntryCore::State::isStopped() const
{
    return m_handedOver && (m_hasLeft || !m_leaveBy);
}

bool EntryCore::State::isReady(const ClockReading &clock) const
{
    return !m_stopping && m_follower.isReady(clock.now);
}

schema::EntryStatus EntryCore::State::status(const ClockReading &clock) const
{
    schema::EntryStatus status;
    status.set_instance(m_self.name.value);
    status.set_zone(m_settings.zone());
    status.set_incarnation(std::to_string(m_self.incarnation.value));
    status.set_ready(isReady(clock));
    if (!status.ready()) {
        status.set_not_ready_because(m_stopping ? "planned stop" : "no current configuration");
    }
    status.set_leaving(m_stopping);
    status.set_config_version(m_follower.state().version());
    status.set_platform_reachable(m_follower.platformReachable(clock.now));
    status.set_name_state(std::string(nameStateName(m_nameState)));
    status.set_unfinished_submissions(m_table.unfinished());
    const ShareLayout layout = layoutOf(m_settings);
    for (const auto &[customer, contract] : m_follower.state().contracts()) {
        const ResourceName resource(customer.value);
        auto *it = status.add_customers();
        it->set_customer(customer.value);
        it->set_in_flight_limit(contract.in_flight_limit());
        it->set_in_flight(m_ledger.inUse(resource));
        it->set_base_share(layout.baseShare(resource, contract.in_flight_limit(), m_self.name));
        it->set_lent(m_ledger.lent(resource));
        it->set_borrowed(m_ledger.borrowed(resource, clock.now));
        it->set_queued(static_cast<std::uint32_t>(m_queue.size(customer)));
    }
    for (const InstanceName &name : m_peerNames) {
        auto *it = status.add_peers();
        it->set_instance(name.value);
        const auto current = m_peers.current(name);
        it->set_incarnation(current ? std::to_string(current->incarnation.value) : "");
        it->set_alive(current && m_peers.standing(current->incarnation, clock.now) == IncarnationStanding::Alive);
    }
    for (const auto &[name, target] : m_follower.state().targets()) {
        if (target.zone() == m_settings.zone() && m_presence.isLeaving(name, clock.now)) {
            status.add_leaving_targets(name.value);
        }
    }
    return status;
}

EntryCore::EntryCore(const schema::EntrySettings &settings,
                     IncarnationId self,
                     std::uint64_t seed,
                     CoreObserver &observer,
                     Instant startedAt)
    : m_state(std::make_unique<State>(settings, self, seed, observer, startedAt))
{
}

EntryCore::~EntryCore() = default;

void EntryCore::handle(const CoreEvent &event, const ClockReading &clock, CoreActions &out)
{
    // A process that was frozen finds its waiting events first; it must not act on its old share.
    m_state->observe(clock);
    std::visit([&](const auto &it) { m_state->handle(it, clock, out); }, event);
}

void EntryCore::pump(const ClockReading &clock, CoreActions &out)
{
    m_state->observe(clock);
    m_state->pump(clock, out);
}

void EntryCore::tick(const ClockReading &clock, CoreActions &out)
{
    m_state->observe(clock);
    m_state->tick(clock, out);
}

void EntryCore::stop(const ClockReading &clock, CoreActions &out)
{
    m_state->stop(clock, out);
}

bool EntryCore::isStopped() const
{
    return m_state->isStopped();
}

bool EntryCore::isReady(const ClockReading &clock) const
{
    return m_state->isReady(clock);
}

schema::EntryStatus EntryCore::status(const ClockReading &clock) const
{
    return m_state->status(clock);
}

} // namespace Eelgrasscleat
