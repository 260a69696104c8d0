/// @file
/// Events of the platform: pages of the log's three streams, appends, and the instance list.
#include "EntryState.h"

#include <records.pb.h>

namespace Eelgrasscleat
{

/// Time between two reads of the instance list.
static constexpr Duration ListInterval = std::chrono::seconds(1);

void EntryCore::State::readLog(const ClockReading &clock, CoreActions &out)
{
    if (m_claims.wantsRead()) {
        m_claimsReader.wantSoon();
    }
    if (const auto from = m_claimsReader.takeRead(clock.now)) {
        out.emplace_back(ReadFromLog { LogStream::Claims, *from });
    }
    if (!m_nextList || clock.now >= *m_nextList) {
        m_nextList = clock.now + ListInterval;
        out.emplace_back(ReadInstanceList {});
    }
}

void EntryCore::State::handle(const LogReadEnded &event, const ClockReading &clock, CoreActions &out)
{
    if (!isOk(event.page)) {
        m_observer.platformFailed(std::get<Error>(event.page));
    }
    switch (event.stream) {
    case LogStream::Config:
        configRead(event, clock, out);
        return;
    case LogStream::Claims:
        claimsRead(event, clock, out);
        return;
    case LogStream::Incarnations:
        incarnationsRead(event, clock);
        return;
    }
}

void EntryCore::State::configRead(const LogReadEnded &event, const ClockReading &clock, CoreActions &out)
{
    if (!isOk(event.page)) {
        m_follower.readFailed(clock.now, m_random);
        return;
    }
    carryOutConfig(m_follower.pageReceived(std::get<schema::RecordPage>(event.page), clock.now), clock, out);
}

void EntryCore::State::carryOutConfig(const std::vector<ConfigAction> &actions,
                                      const ClockReading &clock,
                                      CoreActions &out)
{
    for (const ConfigAction &it : actions) {
        if (const auto *read = std::get_if<ReadConfig>(&it)) {
            out.emplace_back(ReadFromLog { LogStream::Config, read->from });
        } else if (const auto *ask = std::get_if<RequestTail>(&it)) {
            SendToPeer action;
            action.peer = ask->peer.name;
            *action.message.mutable_config_request() = ask->request;
            out.emplace_back(std::move(action));
        } else if (const auto *tail = std::get_if<SendTail>(&it)) {
            SendToPeer action;
            action.peer = tail->peer.name;
            *action.message.mutable_config_tail() = tail->tail;
            out.emplace_back(std::move(action));
        } else if (const auto *append = std::get_if<AppendSnapshot>(&it)) {
            out.emplace_back(AppendToLog { LogStream::Config, append->record.SerializeAsString() });
        }
    }
    if (m_follower.state().version() != m_appliedVersion) {
        m_appliedVersion = m_follower.state().version();
        m_applier.apply(m_follower.state(), clock.now);
        m_observer.configApplied(m_appliedVersion);
    }
}

void EntryCore::State::claimsRead(const LogReadEnded &event, const ClockReading &clock, CoreActions &out)
{
    ExecutionActions actions;
    for (const auto &record : m_claimsReader.readEnded(event.page, clock.now)) {
        schema::ClaimBatch batch;
        if (!batch.ParseFromString(record.data())) {
            continue;
        }
        const IncarnationId claimant(batch.incarnation());
        for (int i = 0; i + 1 < batch.digests_size(); i += 2) {
            const Digest digest { batch.digests(i), batch.digests(i + 1) };
            if (claimant == m_self.incarnation) {
                m_claims.readBack(digest);
            }
            m_table.claimRead(digest, claimant, clock, actions);
        }
    }
    carryOut(actions, clock, out);
    setLogUsable(isOk(event.page) && (m_logUsable || m_claimsReader.atEnd()), clock, out);
}

void EntryCore::State::setLogUsable(bool usable, const ClockReading &clock, CoreActions &out)
{
    if (usable == m_logUsable) {
        return;
    }
    m_logUsable = usable;
    ExecutionActions actions;
    m_table.setLogUsable(usable, clock, actions);
    carryOut(actions, clock, out);
}

void EntryCore::State::incarnationsRead(const LogReadEnded &event, const ClockReading &clock)
{
    if (const auto *page = std::get_if<schema::RecordPage>(&event.page)) {
        m_registration.page(*page, clock.now);
        return;
    }
    m_registration.readFailed(clock.now, m_random);
}

/// Registers this incarnation at its start, and its end on a planned stop.
void EntryCore::State::followRegistration(const ClockReading &clock, CoreActions &out)
{
    for (const RegistrationAction &it : m_registration.tick(clock.now, m_random)) {
        if (const auto *read = std::get_if<ReadIncarnations>(&it)) {
            out.emplace_back(ReadFromLog { LogStream::Incarnations, read->from });
        } else if (const auto *append = std::get_if<AppendIncarnation>(&it)) {
            out.emplace_back(AppendToLog { LogStream::Incarnations, append->record.SerializeAsString() });
        }
    }
    m_hasLeft = m_handedOver && m_registration.hasLeft(clock.now);
}

void EntryCore::State::appendClaims(const ClockReading &clock, CoreActions &out)
{
    if (auto record = m_claims.takeAppend(clock.now)) {
        out.emplace_back(AppendToLog { LogStream::Claims, std::move(*record) });
    }
}

void EntryCore::State::handle(const LogAppendEnded &event, const ClockReading &clock, CoreActions &out)
{
    if (!isOk(event.offset)) {
        m_observer.platformFailed(std::get<Error>(event.offset));
    }
    if (event.stream != LogStream::Claims) {
        return;
    }
    ExecutionActions actions;
    for (const Digest &it : m_claims.appendEnded(event.offset, clock.now)) {
        m_table.claimNotSent(it, clock, actions);
    }
    carryOut(actions, clock, out);
    m_claimsReader.wantSoon();
    readLog(clock, out);
}

void EntryCore::State::handle(const InstanceListRead &event, const ClockReading &clock, CoreActions &)
{
    if (!isOk(event.list)) {
        m_observer.platformFailed(std::get<Error>(event.list));
        return;
    }
    InstanceListing listing;
    for (const auto &it : std::get<schema::InstanceListAnswer>(event.list).instances()) {
        auto &names = it.state() == schema::LISTED_STATE_LEAVING ? listing.leaving : listing.live;
        names.insert(TargetName(it.name()));
    }
    m_presence.listed(listing, clock.now);
    for (const PresenceChange &it : m_presence.takeChanges(clock.now)) {
        m_placer->setLeaving(it.target, it.leaving, clock.now);
    }
}

} // namespace Eelgrasscleat
