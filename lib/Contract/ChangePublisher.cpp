/// @file
/// Publication of one change: read, append, read back.
#include <eelgrasscleat/Contract/ChangePublisher.h>

#include "ConfigReplay.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace Eelgrasscleat
{

namespace
{

constexpr std::array<std::string_view, 4> StatusNames { "accepted", "conflict", "invalid", "unknown" };

constexpr const char *NothingSent = "the log did not answer; nothing was sent";
constexpr const char *RecordNotRead = "the record may have been appended and was not read back";

PublishOutcome withoutVersion(PublishStatus status, const std::string &detail)
{
    PublishOutcome outcome;
    outcome.status = status;
    outcome.detail = detail;
    return outcome;
}

PublishOutcome toOutcome(const schema::ChangeResult &result)
{
    PublishOutcome outcome;
    outcome.detail = result.detail();
    switch (result.verdict()) {
    case schema::CHANGE_VERDICT_ACCEPTED:
        outcome.status = PublishStatus::Accepted;
        outcome.version = result.version();
        break;
    case schema::CHANGE_VERDICT_CONFLICT:
        outcome.status = PublishStatus::Conflict;
        outcome.winner = result.winner_change_id();
        break;
    default:
        outcome.status = PublishStatus::Invalid;
        break;
    }
    return outcome;
}

} // namespace

std::string_view publishStatusName(PublishStatus status)
{
    return StatusNames.at(static_cast<std::size_t>(status));
}

struct ChangePublisher::State
{
    [[nodiscard]] bool mayAppend(Instant now) const;
    void lookForResult();

    schema::ConfigChange change;
    PublisherLimits limits;
    Instant deadline;

    ConfigReplay replay;
    bool isReading = false;
    bool isAppending = false;
    Instant readAfter;
    Instant appendAfter;
    std::uint32_t appends = 0;
    bool endSeen = false; ///< The log's end was read since the last append was answered or lost.
    bool isAppended = false; ///< An append was answered: the record is in the log.
    std::optional<PublishOutcome> outcome;
};

bool ChangePublisher::State::mayAppend(Instant now) const
{
    return endSeen && !isReading && !isAppending && !isAppended && appends < limits.maxAppends && now >= appendAfter;
}

void ChangePublisher::State::lookForResult()
{
    if (const auto result = replay.state().result(change.change_id())) {
        outcome = toOutcome(*result);
    }
}

ChangePublisher::ChangePublisher(schema::ConfigChange change, const PublisherLimits &limits, Instant startedAt)
    : m_state(std::make_unique<State>())
{
    m_state->change = std::move(change);
    m_state->limits = limits;
    m_state->deadline = startedAt + limits.deadline;
    m_state->readAfter = startedAt;
    m_state->appendAfter = startedAt;
    const Result<Done> valid = validateChange(m_state->change);
    if (!isOk(valid)) {
        m_state->outcome = withoutVersion(PublishStatus::Invalid, std::get<Error>(valid).detail);
    }
}

ChangePublisher::~ChangePublisher() = default;

std::vector<PublishAction> ChangePublisher::step(Instant now)
{
    State &state = *m_state;
    if (state.outcome) {
        return {};
    }
    if (now >= state.deadline) {
        const bool wasSent = state.appends > 0;
        state.outcome = withoutVersion(PublishStatus::Unknown, wasSent ? RecordNotRead : NothingSent);
        return {};
    }
    std::vector<PublishAction> actions;
    if (state.mayAppend(now)) {
        state.isAppending = true;
        ++state.appends;
        PublishAppend append;
        *append.record.mutable_change() = state.change;
        actions.emplace_back(std::move(append));
    }
    if (!state.isReading && !state.isAppending && now >= state.readAfter) {
        state.isReading = true;
        actions.emplace_back(PublishRead { .from = state.replay.readFrom() });
    }
    return actions;
}

void ChangePublisher::appendSucceeded(Instant now)
{
    assert(m_state->isAppending && "an append is answered once");
    m_state->isAppending = false;
    m_state->isAppended = true;
    m_state->readAfter = now;
}

void ChangePublisher::appendFailed(Instant now)
{
    assert(m_state->isAppending && "an append is answered once");
    m_state->isAppending = false;
    m_state->endSeen = false;
    m_state->appendAfter = now + m_state->limits.retryInterval;
    m_state->readAfter = now;
}

void ChangePublisher::pageReceived(const schema::RecordPage &page, Instant now)
{
    State &state = *m_state;
    assert(state.isReading && "a read is answered once");
    const std::uint64_t from = state.replay.readFrom();
    state.isReading = false;
    state.replay.page(page);
    const bool atEnd = state.replay.readFrom() >= page.next();
    const bool madeProgress = state.replay.readFrom() > from;
    state.readAfter = !atEnd && madeProgress ? now : now + state.limits.pollInterval;
    state.endSeen = state.endSeen || (atEnd && !state.replay.needsSnapshot());
    state.lookForResult();
}

void ChangePublisher::readFailed(Instant now)
{
    assert(m_state->isReading && "a read is answered once");
    m_state->isReading = false;
    m_state->readAfter = now + m_state->limits.retryInterval;
}

const std::optional<PublishOutcome> &ChangePublisher::outcome() const
{
    return m_state->outcome;
}

const ConfigState &ChangePublisher::state() const
{
    return m_state->replay.state();
}

} // namespace Eelgrasscleat
