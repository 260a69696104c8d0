/// @file
/// Driving of one EntryCore.
#include "CoreDriver.h"

#include <eelgrasscleat/Support/KeyHash.h>

#include <records.pb.h>

#include <utility>

namespace Eelgrasscleat
{

static constexpr Duration TickTime = std::chrono::milliseconds(10);
static constexpr Duration HeartbeatTime = std::chrono::seconds(1);

/// Time that covers registration and first readiness.
static constexpr Duration SettleTime = std::chrono::seconds(8);

static constexpr std::uint64_t Incarnation = 77;
static const std::string Secret = "a key of a customer that is long enough";

static std::string customerName(std::size_t index)
{
    return "customer-" + std::to_string(index);
}

static schema::EntrySettings makeSettings(const DeploymentSize &size)
{
    schema::EntrySettings settings;
    settings.set_name("self");
    settings.set_zone("z");
    settings.mutable_platform()->set_poll_ms(500);
    settings.mutable_platform()->set_append_interval_ms(30);
    settings.mutable_callers()->set_tasks(550);
    auto &dispatch = *settings.mutable_dispatch();
    dispatch.set_queued_tasks(200000);
    dispatch.set_kept_answers(20000);
    dispatch.set_keep_answer_ms(600000);
    dispatch.set_submission_age_ms(3600000);
    dispatch.set_loan_ms(4000);
    dispatch.set_longest_run_ms(30000);
    dispatch.set_heartbeat_ms(1000);
    dispatch.set_freeze_ms(2000);
    dispatch.set_message_weight(0.5);
    dispatch.set_retry_budget(0.1);
    dispatch.set_ring_entries(4096);
    for (std::size_t i = 0; i <= size.peers; ++i) {
        auto *peer = settings.add_peers();
        peer->set_name(i == 0 ? "self" : "peer-" + std::to_string(i));
        peer->set_zone(i < 3 ? "z" : "z" + std::to_string(i / 3));
    }
    return settings;
}

CoreDriver::CoreDriver(const DeploymentSize &size)
    : m_size(size)
    , m_core(std::make_unique<EntryCore>(makeSettings(size), IncarnationId(Incarnation), 1, *this, m_clock.now))
{
    publish(size);
    run(SettleTime);
}

void CoreDriver::publish(const DeploymentSize &size)
{
    schema::ConfigRecord record;
    auto &change = *record.mutable_change();
    change.set_change_id("change");
    change.set_author("operator");
    change.set_reason("capacity");
    for (std::size_t i = 0; i < size.customers; ++i) {
        auto &contract = *change.add_operations()->mutable_put_contract();
        contract.set_customer(customerName(i));
        contract.set_service("engrave-desk");
        contract.set_key_sha256(sha256(Secret));
        contract.set_in_flight_limit(100000);
        contract.set_urgency(schema::URGENCY_NORMAL);
        contract.set_max_run_ms(5000);
        contract.set_max_queued(200000);
    }
    for (std::size_t i = 0; i < size.targets; ++i) {
        auto &target = *change.add_operations()->mutable_put_target();
        target.set_name("target-" + std::to_string(i));
        target.set_zone("z");
        target.set_service("engrave-desk");
        target.set_address("10.0.0.1");
        target.set_port(8080);
        target.set_slots(8);
        target.set_connections(60);
        target.set_state(schema::TARGET_STATE_ACTIVE);
        target.set_rack("rack-" + std::to_string(i / 8));
    }
    m_log[LogStream::Config].push_back(record.SerializeAsString());
}

void CoreDriver::run(Duration time)
{
    for (Duration passed {}; passed < time; passed += TickTime) {
        m_clock.now += TickTime;
        m_clock.wall += std::chrono::duration_cast<std::chrono::milliseconds>(TickTime);
        if (m_clock.now.time_since_epoch() % HeartbeatTime == Duration::zero()) {
            heartbeats();
        }
        CoreActions actions;
        m_core->tick(m_clock, actions);
        drain(actions);
    }
}

void CoreDriver::heartbeats()
{
    ++m_heartbeat;
    for (std::size_t i = 1; i <= m_size.peers; ++i) {
        PeerMessageReceived event;
        event.message.set_from_instance("peer-" + std::to_string(i));
        event.message.set_from_incarnation(1000 + i);
        event.message.set_to_incarnation(Incarnation);
        auto &heartbeat = *event.message.mutable_heartbeat();
        heartbeat.set_config_version(1);
        heartbeat.set_config_next_offset(1);
        heartbeat.set_platform_reachable(true);
        heartbeat.set_sequence(m_heartbeat);
        handle(event);
    }
}

void CoreDriver::submit(int tasks)
{
    SubmitRequested event;
    const std::string customer = customerName(++m_lastKey % m_size.customers);
    event.caller = CallerId(m_lastKey * 2);
    event.credentials = { CustomerName(customer), Secret };
    event.submission.set_customer(customer);
    event.submission.set_key("order-" + std::to_string(m_lastKey));
    event.submission.set_ticket(ticketOf(IncarnationId(Incarnation)));
    event.submission.set_created_ms(static_cast<std::uint64_t>(m_clock.wall.time_since_epoch().count()));
    for (int i = 0; i < tasks; ++i) {
        event.submission.add_tasks()->set_payload("plate");
    }
    handle(event);
}

void CoreDriver::runTasks(std::size_t count, int tasks)
{
    const std::size_t end = m_starts + count;
    while (m_starts < end) {
        submit(tasks);
        while (!m_open.empty()) {
            const std::vector<AttemptId> ended = std::exchange(m_open, {});
            for (const AttemptId it : ended) {
                handle(AttemptEnded { it, AttemptOutcome::Done, "done" });
            }
        }
    }
}

void CoreDriver::queueTasks(std::size_t count, int tasks)
{
    for (std::size_t queued = 0; queued < count; queued += static_cast<std::size_t>(tasks)) {
        submit(tasks);
    }
}

void CoreDriver::readClaims(std::size_t count)
{
    constexpr std::size_t claimsPerRecord = 100;
    for (std::size_t i = 0; i < count; i += claimsPerRecord) {
        schema::ClaimBatch batch;
        batch.set_incarnation(5);
        for (std::size_t k = 0; k < claimsPerRecord; ++k) {
            batch.add_digests(i + k);
            batch.add_digests((i + k) * 0x9E3779B97F4A7C15);
        }
        m_log[LogStream::Claims].push_back(batch.SerializeAsString());
    }
    run(std::chrono::seconds(5));
}

void CoreDriver::handle(const CoreEvent &event)
{
    CoreActions actions;
    m_core->handle(event, m_clock, actions);
    drain(actions);
}

void CoreDriver::drain(CoreActions &actions)
{
    m_core->startQueuedTasks(m_clock, actions);
    for (CoreAction &it : actions) {
        if (const auto *start = std::get_if<StartOnTarget>(&it)) {
            m_open.push_back(start->attempt);
            ++m_starts;
        } else if (auto *message = std::get_if<SendToPeer>(&it)) {
            message->message.set_from_instance("self");
            message->message.set_from_incarnation(Incarnation);
            m_bytes.toPeers += message->message.ByteSizeLong();
        } else if (const auto *append = std::get_if<AppendToLog>(&it)) {
            m_bytes.toLog += append->record.size();
            m_log[append->stream].push_back(append->record);
            m_events.emplace_back(LogAppendCompleted { append->stream, m_log[append->stream].size() - 1 });
        } else if (const auto *read = std::get_if<ReadFromLog>(&it)) {
            m_events.emplace_back(
                LogReadCompleted { read->stream, read->from, m_clock.now, page(read->stream, read->from) });
        }
    }
    actions.clear();
    while (!m_events.empty()) {
        const auto events = std::exchange(m_events, {});
        for (const CoreEvent &it : events) {
            handle(it);
        }
    }
}

schema::RecordPage CoreDriver::page(LogStream stream, std::uint64_t from) const
{
    schema::RecordPage page;
    const auto it = m_log.find(stream);
    const std::uint64_t end = it == m_log.end() ? 0 : it->second.size();
    page.set_next(end);
    for (std::uint64_t i = from; i < end; ++i) {
        auto *record = page.add_records();
        record->set_offset(i);
        record->set_data(it->second[i]);
    }
    return page;
}

const ControlBytes &CoreDriver::bytes() const
{
    return m_bytes;
}

std::size_t CoreDriver::starts() const
{
    return m_starts;
}

void CoreDriver::callerAnswered(schema::FailureReason)
{
}

void CoreDriver::taskStarted()
{
}

void CoreDriver::attemptEnded(AttemptOutcome)
{
}

void CoreDriver::retryDecided(RetryDecision)
{
}

void CoreDriver::submissionForwarded()
{
}

void CoreDriver::configApplied(std::uint64_t)
{
}

void CoreDriver::platformCallFailed(const Error &)
{
}

} // namespace Eelgrasscleat
