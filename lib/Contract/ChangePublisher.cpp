/// @file
/// Publication of one change: read the log, append the record, read it back.
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

PublishOutcome makeOutcome(PublishStatus status, const std::string &detail)
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
    [[nodiscard]] bool canAppend(Instant now) const;
    void updateOutcome();

    schema::ConfigChange change;
    PublisherLimits limits;
    Instant deadline;

    ConfigReplay replay;
    bool isReading = false;
    bool isAppending = false;
    Instant nextReadAt;
    Instant nextAppendAt;
    std::uint32_t appendCount = 0;
    bool hasReadEnd = false; ///< The end of the log was read since the last failed append.
    bool isAppended = false; ///< An append succeeded, so the record is in the log.
    std::optional<PublishOutcome> outcome;
};

bool ChangePublisher::State::canAppend(Instant now) const
{
    return hasReadEnd && !isReading && !isAppending && !isAppended && appendCount < limits.maxAppends
        && now >= nextAppendAt;
}

void ChangePublisher::State::updateOutcome()
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
    m_state->nextReadAt = startedAt;
    m_state->nextAppendAt = startedAt;
    const Result<Done> valid = validateChange(m_state->change);
    if (!isOk(valid)) {
        m_state->outcome = makeOutcome(PublishStatus::Invalid, std::get<Error>(valid).detail);
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
        const bool wasSent = state.appendCount > 0;
        state.outcome = makeOutcome(PublishStatus::Unknown, wasSent ? RecordNotRead : NothingSent);
        return {};
    }
    std::vector<PublishAction> actions;
    if (state.canAppend(now)) {
        state.isAppending = true;
        ++state.appendCount;
        PublishAppend append;
        *append.record.mutable_change() = state.change;
        actions.emplace_back(std::move(append));
    }
    if (!state.isReading && !state.isAppending && now >= state.nextReadAt) {
        state.isReading = true;
        actions.emplace_back(PublishRead { .from = state.replay.nextReadOffset() });
    }
    return actions;
}

void ChangePublisher::appendSucceeded(Instant now)
{
    assert(m_state->isAppending && "each append completes once");
    m_state->isAppending = false;
    m_state->isAppended = true;
    m_state->nextReadAt = now;
}

void ChangePublisher::appendFailed(Instant now)
{
    assert(m_state->isAppending && "each append completes once");
    m_state->isAppending = false;
    m_state->hasReadEnd = false;
    m_state->nextAppendAt = now + m_state->limits.retryInterval;
    m_state->nextReadAt = now;
}

void ChangePublisher::pageReceived(const schema::RecordPage &page, Instant now)
{
    State &state = *m_state;
    assert(state.isReading && "each read completes once");
    const std::uint64_t from = state.replay.nextReadOffset();
    state.isReading = false;
    state.replay.applyPage(page);
    const bool atEnd = state.replay.nextReadOffset() >= page.next();
    const bool madeProgress = state.replay.nextReadOffset() > from;
    state.nextReadAt = !atEnd && madeProgress ? now : now + state.limits.pollInterval;
    state.hasReadEnd = state.hasReadEnd || (atEnd && !state.replay.needsSnapshot());
    state.updateOutcome();
}

void ChangePublisher::readFailed(Instant now)
{
    assert(m_state->isReading && "each read completes once");
    m_state->isReading = false;
    m_state->nextReadAt = now + m_state->limits.retryInterval;
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
