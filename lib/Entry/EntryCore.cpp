/// @file
/// Construction of the components, time-driven work, and execution of actions. Handlers of callers' events are in
/// CallerEvents.cpp, those of peers' in PeerEvents.cpp, those of the platform's in PlatformEvents.cpp.
#include <eelgrasscleat/Entry/EntryCore.h>

#include "CallerIds.h"
#include "EntryCoreImpl.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <string_view>
#include <utility>

namespace Eelgrasscleat
{

/// How long a stopping instance tries to record its clean end. If the record is missing, the successor of its name
/// merely waits longer.
static constexpr Duration LeaveRecordTimeout = std::chrono::seconds(3);

/// Maximum time by which a caller's clock may be ahead of this instance's.
static constexpr Duration MaxCallerClockSkew = std::chrono::minutes(5);

/// Divisor of a loan's duration: no task starts in that fraction at its end, since a start may still be in transit.
static constexpr int StartMarginDivisor = 10;

/// Time without an answer after which a forwarded submission is sent again.
static constexpr Duration ForwardRepeatInterval = std::chrono::seconds(2);

/// How long a target's refusal as leaving overrides an instance list that still shows it as live.
static constexpr Duration RefusalLifetime = std::chrono::seconds(30);

/// Heartbeat intervals that a successor of a name waits for its first heartbeats to reach all peers.
static constexpr int HeartbeatsToAnnounce = 3;

/// Number of missed heartbeats after which a peer is unreachable.
static constexpr int MaxMissedHeartbeats = 4;

/// Time beyond the maximum run of a task within which it ends on its target.
static constexpr Duration CompletionMargin = std::chrono::seconds(1);

/// Minimum interval between reads of the incarnations stream. Names change far less often than the configuration.
static constexpr Duration MinIncarnationPollInterval = std::chrono::seconds(1);

/// Interval between reads of the claims stream while no claim awaits confirmation.
static constexpr Duration ClaimsPollInterval = std::chrono::seconds(2);

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

static ShareLayout shareLayout(const schema::EntrySettings &settings)
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

/// @returns the number of configured entry instances in this instance's zone, including itself.
static std::uint32_t instancesInZone(const schema::EntrySettings &settings)
{
    const ShareLayout layout = shareLayout(settings);
    const auto &instances = layout.instances();
    return static_cast<std::uint32_t>(
        std::count_if(instances.begin(), instances.end(), [&](const ConfiguredInstance &it) {
            return it.zone.value == settings.zone();
        }));
}

static LoanTiming loanTiming(const schema::DispatchSettings &settings)
{
    const Duration loan = milliseconds(settings.loan_ms());
    return LoanTiming { loan, loan / StartMarginDivisor, loan / StartMarginDivisor };
}

static NameHolderTimes nameHolderTimes(const schema::DispatchSettings &settings)
{
    NameHolderTimes times;
    times.confirmationTimeout = milliseconds(settings.heartbeat_ms()) * MaxMissedHeartbeats;
    times.freezeThreshold = milliseconds(settings.freeze_ms());
    times.successionMargin = std::max(milliseconds(settings.loan_ms()) / StartMarginDivisor,
                                      milliseconds(settings.heartbeat_ms()) * HeartbeatsToAnnounce);
    // A predecessor's loans stay valid until they expire, and tasks may start until then.
    times.maxRunTime = milliseconds(settings.loan_ms()) + milliseconds(settings.longest_run_ms()) + CompletionMargin;
    return times;
}

static SubmissionTableSettings submissionTableSettings(const schema::DispatchSettings &settings)
{
    SubmissionTableSettings table;
    table.maxCachedAnswers = settings.kept_answers();
    table.answerRetention = milliseconds(settings.keep_answer_ms());
    table.maxAge = milliseconds(settings.submission_age_ms());
    table.maxSkew = MaxCallerClockSkew;
    table.retryBudget = settings.retry_budget();
    return table;
}

static RegistrationTimes registrationTimes(const schema::EntrySettings &settings)
{
    RegistrationTimes times;
    times.pollInterval = std::max(milliseconds(settings.platform().poll_ms()), MinIncarnationPollInterval);
    return times;
}

static ConfigFollowerSettings configFollowerSettings(const schema::EntrySettings &settings)
{
    ConfigFollowerSettings follower;
    follower.pollInterval = milliseconds(settings.platform().poll_ms());
    return follower;
}

EntryCore::Impl::Impl(const schema::EntrySettings &settings,
                      IncarnationId self,
                      std::uint64_t seed,
                      CoreObserver &observer,
                      Instant startedAt)
    : m_settings(settings)
    , m_self { InstanceName(settings.name()), self }
    , m_observer(observer)
    , m_random(seed)
    , m_configFollower(configFollowerSettings(settings), startedAt)
    , m_peers(m_self, milliseconds(settings.dispatch().heartbeat_ms()) * MaxMissedHeartbeats)
    , m_nameHolder(m_self, nameHolderTimes(settings.dispatch()))
    , m_heartbeatExchange(m_nameHolder, m_peers)
    , m_registration(ZoneName(settings.zone()), registrationTimes(settings), m_nameHolder, m_peers)
    , m_targetPresence(RefusalLifetime)
    , m_ledger(m_self, shareLayout(settings), loanTiming(settings.dispatch()))
    , m_queue(settings.dispatch().queued_tasks())
    , m_placer(makeAdaptivePlacer(AdaptivePlacerSettings { settings.dispatch().message_weight() }))
    , m_submissions(self, submissionTableSettings(settings.dispatch()))
    , m_dispatcher(
          DispatcherContext { m_submissions, m_queue, m_ledger, *m_placer, m_configFollower.state(), m_random },
          settings.dispatch().ring_entries(),
          instancesInZone(settings),
          std::chrono::milliseconds(settings.dispatch().longest_run_ms()))
    , m_configApplier(ZoneName(settings.zone()),
                      milliseconds(settings.dispatch().longest_run_ms()),
                      m_ledger,
                      m_queue,
                      *m_placer,
                      m_targetPresence)
    , m_forwards(m_self, ForwardRepeatInterval)
    , m_claimWriter(self, milliseconds(settings.platform().append_interval_ms()))
    , m_claimsReader(ClaimsPollInterval)
{
    for (const auto &it : settings.peers()) {
        if (it.name() != settings.name()) {
            m_peerNames.insert(InstanceName(it.name()));
            if (it.zone() == settings.zone()) {
                m_zonePeerNames.insert(InstanceName(it.name()));
            }
        }
    }
    m_placer->setSlotShare(slotShare());
}

void EntryCore::Impl::answer(CallerId caller, const schema::SubmissionAnswer &answer, CoreActions &out)
{
    if (m_forwards.answerRequest(caller, answer, out)) {
        return;
    }
    m_observer.callerAnswered(answer.reason());
    AnswerCaller action { caller, answer };
    action.answer.set_ticket(nextTicket());
    out.emplace_back(std::move(action));
}

std::string EntryCore::Impl::nextTicket() const
{
    if (!m_stopping) {
        return ticketOf(m_self.incarnation);
    }
    return m_acceptingPeers.empty() ? std::string() : ticketOf(m_acceptingPeers.front().incarnation);
}

void EntryCore::Impl::answerAll(const std::vector<QueryAnswer> &answers, CoreActions &out)
{
    for (const QueryAnswer &it : answers) {
        answer(it.caller, it.answer, out);
    }
}

void EntryCore::Impl::execute(ExecutionActions &actions, const ClockReading &clock, CoreActions &out)
{
    while (!actions.empty()) {
        ExecutionActions more;
        for (const ExecutionAction &it : actions) {
            executeAction(it, clock, more, out);
        }
        actions.swap(more);
    }
}

void EntryCore::Impl::executeAction(const ExecutionAction &action,
                                    const ClockReading &clock,
                                    ExecutionActions &more,
                                    CoreActions &out)
{
    if (const auto *claim = std::get_if<AppendClaim>(&action)) {
        m_claimWriter.add(claim->digest);
    } else if (const auto *forward = std::get_if<ForwardToHome>(&action)) {
        m_observer.submissionForwarded();
        m_forwards.forward(*forward, m_peers, m_submissions, clock, more, out);
    } else if (const auto *cancel = std::get_if<ForwardCancelToHome>(&action)) {
        m_forwards.forwardCancel(*cancel, m_peers, out);
    } else if (const auto *tasks = std::get_if<EnqueueTasks>(&action)) {
        m_dispatcher.enqueue(*tasks, clock, more);
    } else if (const auto *withdrawn = std::get_if<WithdrawTasks>(&action)) {
        m_dispatcher.removeTasks(withdrawn->submission);
    } else if (const auto *answered = std::get_if<AnswerCaller>(&action)) {
        answer(answered->caller, answered->answer, out);
    }
}

void EntryCore::Impl::handle(const AttemptEnded &event, const ClockReading &clock, CoreActions &out)
{
    ExecutionActions actions;
    m_observer.attemptEnded(event.outcome);
    const AttemptReport report = m_dispatcher.attemptEnded(event, clock, actions);
    if (report.retry) {
        m_observer.retryDecided(*report.retry);
    }
    if (report.leavingTarget) {
        m_targetPresence.recordRefusal(*report.leavingTarget, clock.now);
    }
    if (report.ranOn) {
        m_targetPresence.recordTaskRun(*report.ranOn, report.startedAt);
    }
    execute(actions, clock, out);
}

void EntryCore::Impl::startQueuedTasks(const ClockReading &clock, CoreActions &out)
{
    ExecutionActions actions;
    const auto before = m_dispatcher.startCount();
    m_dispatcher.startQueuedTasks(clock, actions, out);
    for (auto n = before; n < m_dispatcher.startCount(); ++n) {
        m_observer.taskStarted();
    }
    execute(actions, clock, out);
}

void EntryCore::Impl::updateNameState(const ClockReading &clock)
{
    m_nameState = m_nameHolder.step(clock.now);
    m_ledger.setBaseShareUsable(m_nameState == NameState::Held && !m_handedOver, clock.now);
}

void EntryCore::Impl::tick(const ClockReading &clock, CoreActions &out)
{
    if (m_nameState == NameState::Replaced && !m_stopping) {
        beginStop(clock, out);
    }
    executeConfigActions(m_configFollower.tick(clock.now, m_random), clock, out);
    updateMembership(clock);
    startReads(clock, out);
    appendClaims(clock, out);
    updateRegistration(clock, out);

    ExecutionActions actions;
    m_submissions.tick(clock, actions);
    m_dispatcher.tick(clock, actions);
    m_forwards.tick(m_peers, m_submissions, clock, actions, out);
    execute(actions, clock, out);
    answerAll(m_queries.tick(m_peers, clock.now), out);

    std::vector<LedgerMessage> messages;
    m_ledger.tick(clock.now, messages);
    sendLedgerMessages(messages, out);
    sendHeartbeats(clock, out);
    handOver(clock, out);
    if (m_leaveDeadline && clock.now >= *m_leaveDeadline) {
        m_leaveDeadline.reset();
    }
}

/// @returns the number of live instances in this zone, which share the slots of its targets, and this one's index.
SlotShare EntryCore::Impl::slotShare() const
{
    SlotShare share;
    for (const PeerId &it : m_livePeers) {
        if (m_zonePeerNames.contains(it.name)) {
            ++share.instances;
            share.index += it.name < m_self.name ? 1 : 0;
        }
    }
    return share;
}

void EntryCore::Impl::updateMembership(const ClockReading &clock)
{
    std::vector<PeerId> livePeers;
    m_acceptingPeers.clear();
    for (const PeerState &it : m_peers.alivePeers(clock.now)) {
        livePeers.push_back(it.id);
        if (!it.leaving) {
            m_acceptingPeers.insert(
                m_zonePeerNames.contains(it.id.name) ? m_acceptingPeers.begin() : m_acceptingPeers.end(), it.id);
        }
    }
    if (livePeers != m_livePeers) {
        m_ledger.setPeers(livePeers);
        m_livePeers = std::move(livePeers);
        m_placer->setSlotShare(slotShare());
    }
    for (const PresenceChange &it : m_targetPresence.takeChanges(clock.now)) {
        m_placer->setLeaving(it.target, it.leaving, clock.now);
    }
}

void EntryCore::Impl::sendLedgerMessages(std::vector<LedgerMessage> &messages, CoreActions &out) const
{
    for (LedgerMessage &it : messages) {
        out.emplace_back(SendToPeer { it.to.name, std::move(it.message) });
    }
}

void EntryCore::Impl::beginStop(const ClockReading &clock, CoreActions &out)
{
    if (m_stopping) {
        return;
    }
    m_stopping = true;
    // Callers are refused only after the load balancer had time to observe that this instance is not ready.
    m_acceptUntil = clock.now + milliseconds(m_settings.dispatch().stop_grace_ms());
    m_nextHeartbeat.reset();
    sendHeartbeats(clock, out);
}

/// Hands permits and cached answers over to the peers and releases the name, once all accepted work has ended.
void EntryCore::Impl::handOver(const ClockReading &clock, CoreActions &out)
{
    if (!m_stopping || m_handedOver || clock.now < m_acceptUntil) {
        return;
    }
    m_submissions.stopAccepting();
    if (m_submissions.unfinishedSubmissions() > 0 || m_dispatcher.inFlight() > 0) {
        return;
    }
    m_handedOver = true;
    std::vector<LedgerMessage> messages;
    m_ledger.stop(clock.now, messages);
    sendLedgerMessages(messages, out);
    sendCachedAnswers(clock, out);
    m_leaveDeadline = clock.now + LeaveRecordTimeout;
    m_registration.leave();
    updateRegistration(clock, out);
}

bool EntryCore::Impl::isStopped() const
{
    return m_handedOver && (m_hasLeft || !m_leaveDeadline);
}

bool EntryCore::Impl::isReady(const ClockReading &clock) const
{
    return !m_stopping && m_configFollower.isReady(clock.now);
}

schema::EntryStatus EntryCore::Impl::status(const ClockReading &clock) const
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
    status.set_config_version(m_configFollower.state().version());
    status.set_platform_reachable(m_configFollower.isPlatformReachable(clock.now));
    status.set_name_state(std::string(nameStateName(m_nameState)));
    status.set_unfinished_submissions(m_submissions.unfinishedSubmissions());
    const ShareLayout layout = shareLayout(m_settings);
    for (const auto &[customer, contract] : m_configFollower.state().contracts()) {
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
        const auto current = m_peers.currentPeer(name);
        it->set_incarnation(current ? std::to_string(current->incarnation.value) : "");
        it->set_alive(current && m_peers.statusOf(current->incarnation, clock.now) == IncarnationStatus::Alive);
    }
    for (const auto &[name, target] : m_configFollower.state().targets()) {
        if (target.zone() == m_settings.zone() && m_targetPresence.isLeaving(name, clock.now)) {
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
    : m_impl(std::make_unique<Impl>(settings, self, seed, observer, startedAt))
{
}

EntryCore::~EntryCore() = default;

void EntryCore::handle(const CoreEvent &event, const ClockReading &clock, CoreActions &out)
{
    // A process that resumes after a freeze handles queued events before its next tick; it must not use a share that
    // has been taken over meanwhile.
    m_impl->updateNameState(clock);
    std::visit([&](const auto &it) { m_impl->handle(it, clock, out); }, event);
}

void EntryCore::startQueuedTasks(const ClockReading &clock, CoreActions &out)
{
    m_impl->updateNameState(clock);
    m_impl->startQueuedTasks(clock, out);
}

void EntryCore::tick(const ClockReading &clock, CoreActions &out)
{
    m_impl->updateNameState(clock);
    m_impl->tick(clock, out);
}

void EntryCore::beginStop(const ClockReading &clock, CoreActions &out)
{
    m_impl->beginStop(clock, out);
}

bool EntryCore::isStopped() const
{
    return m_impl->isStopped();
}

bool EntryCore::isReady(const ClockReading &clock) const
{
    return m_impl->isReady(clock);
}

schema::EntryStatus EntryCore::status(const ClockReading &clock) const
{
    return m_impl->status(clock);
}

} // namespace Eelgrasscleat
