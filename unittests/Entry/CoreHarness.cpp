/// @file
/// Execution of the cores' actions with a simulated log, targets and peers.
#include "CoreHarness.h"

#include "../../lib/Entry/CallerIds.h"

#include <eelgrasscleat/Support/KeyHash.h>

#include <algorithm>
#include <stdexcept>

namespace Eelgrasscleat
{

static constexpr Duration TickInterval = std::chrono::milliseconds(10);

/// Maximum simulated time for all instances to become ready.
static constexpr Duration ReadyTimeout = std::chrono::seconds(20);

static const std::string Secret = "a key of the customer that is long";

CoreHarness::CoreHarness(std::size_t instances)
    : m_instances(instances)
{
    for (std::size_t i = 0; i < instances; ++i) {
        schema::EntrySettings &settings = m_instances[i].settings;
        settings.set_name("e" + std::to_string(i));
        settings.set_zone("z1");
        settings.mutable_platform()->set_poll_ms(100);
        settings.mutable_platform()->set_append_interval_ms(30);
        settings.mutable_callers()->set_tasks(550);
        auto &dispatch = *settings.mutable_dispatch();
        dispatch.set_queued_tasks(10000);
        dispatch.set_kept_answers(1000);
        dispatch.set_keep_answer_ms(600000);
        dispatch.set_submission_age_ms(3600000);
        dispatch.set_loan_ms(4000);
        dispatch.set_longest_run_ms(30000);
        dispatch.set_heartbeat_ms(500);
        dispatch.set_freeze_ms(2000);
        dispatch.set_message_weight(0.5);
        dispatch.set_retry_budget(0.1);
        dispatch.set_ring_entries(4096);
        dispatch.set_stop_grace_ms(100);
        for (std::size_t peer = 0; peer < instances; ++peer) {
            auto *it = settings.add_peers();
            it->set_name("e" + std::to_string(peer));
            it->set_zone("z1");
        }
        startCore(m_instances[i]);
    }
}

ClockReading CoreHarness::clock() const
{
    return ClockReading { m_now, m_wallTime };
}

void CoreHarness::startCore(Instance &instance)
{
    instance.incarnation = ++m_lastIncarnation;
    instance.core = std::make_unique<EntryCore>(
        instance.settings, IncarnationId(instance.incarnation), instance.incarnation, observer, m_now);
}

void CoreHarness::publishConfig(std::uint32_t limit, int targets)
{
    schema::ConfigRecord record;
    auto &change = *record.mutable_change();
    change.set_change_id("change-" + std::to_string(m_log[LogStream::Config].size()));
    change.set_base_version(m_log[LogStream::Config].size());
    change.set_author("test");
    change.set_reason("test");
    auto &contract = *change.add_operations()->mutable_put_contract();
    contract.set_customer("prairie");
    contract.set_service("engrave-desk");
    contract.set_key_sha256(sha256(Secret));
    contract.set_in_flight_limit(limit);
    contract.set_urgency(schema::URGENCY_URGENT);
    contract.set_max_run_ms(5000);
    contract.set_max_queued(10000);
    for (int i = 1; i <= targets; ++i) {
        auto &target = *change.add_operations()->mutable_put_target();
        target.set_name("t" + std::to_string(i));
        target.set_zone("z1");
        target.set_service("engrave-desk");
        target.set_address("127.0.0.1");
        target.set_port(static_cast<std::uint32_t>(9000 + i));
        target.set_slots(8);
        target.set_connections(60);
        target.set_state(schema::TARGET_STATE_ACTIVE);
    }
    m_log[LogStream::Config].push_back(record.SerializeAsString());
}

void CoreHarness::advanceTime(Duration time)
{
    for (Duration passed {}; passed < time; passed += TickInterval) {
        m_now += TickInterval;
        m_wallTime += std::chrono::duration_cast<std::chrono::milliseconds>(TickInterval);
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            CoreActions actions;
            m_instances[i].core->tick(clock(), actions);
            executeActions(i, actions);
        }
        deliver();
    }
}

void CoreHarness::waitUntilReady()
{
    const auto isInstanceReady = [this](std::size_t i) {
        const auto state = status(i);
        return state.ready() && state.config_version() == m_log[LogStream::Config].size()
            && state.name_state() == "held";
    };
    for (Duration passed {}; passed < ReadyTimeout; passed += TickInterval) {
        advanceTime(TickInterval);
        bool all = true;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            all = all && isInstanceReady(i);
        }
        if (all) {
            return;
        }
    }
    throw std::runtime_error("the instances did not get ready");
}

void CoreHarness::executeActions(std::size_t instance, CoreActions &actions)
{
    m_instances[instance].core->startQueuedTasks(clock(), actions);
    for (CoreAction &it : actions) {
        execute(instance, it);
    }
    actions.clear();
}

void CoreHarness::handle(std::size_t instance, const CoreEvent &event)
{
    CoreActions actions;
    m_instances[instance].core->handle(event, clock(), actions);
    executeActions(instance, actions);
}

void CoreHarness::deliver()
{
    while (!m_events.empty()) {
        const auto [instance, event] = std::move(m_events.front());
        m_events.pop_front();
        handle(instance, event);
    }
}

void CoreHarness::execute(std::size_t instance, CoreAction &action)
{
    if (auto *answered = std::get_if<AnswerCaller>(&action)) {
        m_answers[answered->caller] = answered->answer;
    } else if (auto *start = std::get_if<StartOnTarget>(&action)) {
        starts.push_back({ instance, *start });
    } else if (auto *message = std::get_if<SendToPeer>(&action)) {
        message->message.set_from_instance(m_instances[instance].settings.name());
        message->message.set_from_incarnation(m_instances[instance].incarnation);
        const auto it = std::find_if(m_instances.begin(), m_instances.end(), [message](const Instance &peer) {
            return peer.settings.name() == message->peer.value;
        });
        m_events.emplace_back(it - m_instances.begin(), PeerMessageReceived { message->message });
    } else if (auto *record = std::get_if<AppendToLog>(&action)) {
        claimAppends += record->stream == LogStream::Claims ? 1 : 0;
        m_events.emplace_back(instance, LogAppendCompleted { record->stream, append(record->stream, record->record) });
    } else if (auto *wanted = std::get_if<ReadFromLog>(&action)) {
        m_events.emplace_back(
            instance, LogReadCompleted { wanted->stream, wanted->from, m_now, read(wanted->stream, wanted->from) });
    } else {
        schema::InstanceListAnswer list;
        for (const std::string &it : leavingTargets) {
            auto *listed = list.add_instances();
            listed->set_name(it);
            listed->set_state(schema::LISTED_STATE_LEAVING);
        }
        m_events.emplace_back(instance, InstanceListReceived { list });
    }
}

Result<std::uint64_t> CoreHarness::append(LogStream stream, const std::string &record)
{
    if (!isPlatformUp) {
        return Error { ErrorCode::Unavailable, Step::AppendRecord, "platform", "down" };
    }
    m_log[stream].push_back(record);
    if (loseAppendAnswers) {
        return Error { ErrorCode::TimedOut, Step::AppendRecord, "platform", "answer lost" };
    }
    return m_log[stream].size() - 1;
}

Result<schema::RecordPage> CoreHarness::read(LogStream stream, std::uint64_t from) const
{
    if (!isPlatformUp) {
        return Error { ErrorCode::Unavailable, Step::ReadRecords, "platform", "down" };
    }
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

CallerId CoreHarness::submit(std::size_t instance, const schema::Submission &submission)
{
    const CallerId caller = CallerIds::fromHttp(CallerId(++m_lastCaller));
    handle(instance, SubmitRequested { caller, { CustomerName("prairie"), Secret }, submission, true });
    deliver();
    return caller;
}

void CoreHarness::endAttempt(const RecordedStart &started, AttemptOutcome outcome, const std::string &output)
{
    handle(started.instance, AttemptEnded { started.start.attempt, outcome, output });
    deliver();
}

void CoreHarness::beginStop(std::size_t instance)
{
    CoreActions actions;
    m_instances[instance].core->beginStop(clock(), actions);
    executeActions(instance, actions);
    deliver();
}

void CoreHarness::replaceInstance(std::size_t instance)
{
    startCore(m_instances[instance]);
}

std::optional<schema::SubmissionAnswer> CoreHarness::answer(CallerId caller) const
{
    const auto it = m_answers.find(caller);
    return it == m_answers.end() ? std::nullopt : std::optional(it->second);
}

std::string CoreHarness::ticket(std::size_t instance) const
{
    return ticketOf(IncarnationId(m_instances[instance].incarnation));
}

schema::EntryStatus CoreHarness::status(std::size_t instance) const
{
    return m_instances[instance].core->status(clock());
}

bool CoreHarness::isStopped(std::size_t instance) const
{
    return m_instances[instance].core->isStopped();
}

schema::Submission CoreHarness::makeJob(const std::string &key, int tasks, const std::string &ticket) const
{
    schema::Submission job;
    job.set_customer("prairie");
    job.set_key(key);
    job.set_ticket(ticket);
    job.set_created_ms(static_cast<std::uint64_t>(m_wallTime.time_since_epoch().count()));
    for (int i = 0; i < tasks; ++i) {
        job.add_tasks()->set_payload("p" + std::to_string(i));
    }
    return job;
}

} // namespace Eelgrasscleat
