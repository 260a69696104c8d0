/// @file
/// Handlers of the platform's results: pages of the log's three streams, appends, and the instance list.
#include "EntryCoreImpl.h"

#include <records.pb.h>

namespace Eelgrasscleat
{

/// Interval between reads of the instance list.
static constexpr Duration InstanceListInterval = std::chrono::seconds(1);

void EntryCore::Impl::startReads(const ClockReading &clock, CoreActions &out)
{
    if (m_claimWriter.needsRead()) {
        m_claimsReader.requestRead();
    }
    if (const auto from = m_claimsReader.startRead(clock.now)) {
        out.emplace_back(ReadFromLog { LogStream::Claims, *from });
    }
    if (!m_nextListRead || clock.now >= *m_nextListRead) {
        m_nextListRead = clock.now + InstanceListInterval;
        out.emplace_back(ReadInstanceList {});
    }
}

void EntryCore::Impl::handle(const LogReadCompleted &event, const ClockReading &clock, CoreActions &out)
{
    if (!isOk(event.page)) {
        m_observer.platformCallFailed(std::get<Error>(event.page));
    }
    switch (event.stream) {
    case LogStream::Config:
        handleConfigRead(event, clock, out);
        return;
    case LogStream::Claims:
        handleClaimsRead(event, clock, out);
        return;
    case LogStream::Incarnations:
        handleIncarnationsRead(event, clock);
        return;
    }
}

void EntryCore::Impl::handleConfigRead(const LogReadCompleted &event, const ClockReading &clock, CoreActions &out)
{
    if (!isOk(event.page)) {
        m_configFollower.readFailed(clock.now, m_random);
        return;
    }
    executeConfigActions(
        m_configFollower.pageReceived(std::get<schema::RecordPage>(event.page), clock.now), clock, out);
}

void EntryCore::Impl::executeConfigActions(const std::vector<ConfigAction> &actions,
                                           const ClockReading &clock,
                                           CoreActions &out)
{
    for (const ConfigAction &it : actions) {
        if (const auto *read = std::get_if<ReadConfig>(&it)) {
            out.emplace_back(ReadFromLog { LogStream::Config, read->from });
        } else if (const auto *request = std::get_if<RequestTail>(&it)) {
            SendToPeer action;
            action.peer = request->peer.name;
            *action.message.mutable_config_request() = request->request;
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
    if (m_configFollower.state().version() != m_appliedVersion) {
        m_appliedVersion = m_configFollower.state().version();
        m_configApplier.apply(m_configFollower.state(), clock.now);
        m_observer.configApplied(m_appliedVersion);
    }
}

void EntryCore::Impl::handleClaimsRead(const LogReadCompleted &event, const ClockReading &clock, CoreActions &out)
{
    ExecutionActions actions;
    for (const auto &record : m_claimsReader.completeRead(event.page, clock.now)) {
        schema::ClaimBatch batch;
        if (!batch.ParseFromString(record.data())) {
            continue;
        }
        const IncarnationId claimant(batch.incarnation());
        for (int i = 0; i + 1 < batch.digests_size(); i += 2) {
            const Digest digest { batch.digests(i), batch.digests(i + 1) };
            if (claimant == m_self.incarnation) {
                m_claimWriter.confirm(digest);
            }
            m_submissions.applyClaim(digest, claimant, clock, actions);
        }
    }
    execute(actions, clock, out);
    setLogUsable(isOk(event.page) && (m_logUsable || m_claimsReader.isAtEnd()), clock, out);
}

void EntryCore::Impl::setLogUsable(bool usable, const ClockReading &clock, CoreActions &out)
{
    if (usable == m_logUsable) {
        return;
    }
    m_logUsable = usable;
    ExecutionActions actions;
    m_submissions.setLogUsable(usable, clock, actions);
    execute(actions, clock, out);
}

void EntryCore::Impl::handleIncarnationsRead(const LogReadCompleted &event, const ClockReading &clock)
{
    if (const auto *page = std::get_if<schema::RecordPage>(&event.page)) {
        m_registration.handlePage(*page, clock.now);
        return;
    }
    m_registration.handleReadFailure(clock.now, m_random);
}

/// Records the start of this incarnation, and its end during a planned stop.
void EntryCore::Impl::updateRegistration(const ClockReading &clock, CoreActions &out)
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

void EntryCore::Impl::appendClaims(const ClockReading &clock, CoreActions &out)
{
    if (auto record = m_claimWriter.startAppend(clock.now)) {
        out.emplace_back(AppendToLog { LogStream::Claims, std::move(*record) });
    }
}

void EntryCore::Impl::handle(const LogAppendCompleted &event, const ClockReading &clock, CoreActions &out)
{
    if (!isOk(event.offset)) {
        m_observer.platformCallFailed(std::get<Error>(event.offset));
    }
    if (event.stream != LogStream::Claims) {
        return;
    }
    ExecutionActions actions;
    for (const Digest &it : m_claimWriter.completeAppend(event.offset, clock.now)) {
        m_submissions.failUnsentClaim(it, clock, actions);
    }
    execute(actions, clock, out);
    m_claimsReader.requestRead();
    startReads(clock, out);
}

void EntryCore::Impl::handle(const InstanceListReceived &event, const ClockReading &clock, CoreActions &)
{
    if (!isOk(event.list)) {
        m_observer.platformCallFailed(std::get<Error>(event.list));
        return;
    }
    InstanceListing listing;
    for (const auto &it : std::get<schema::InstanceListAnswer>(event.list).instances()) {
        auto &names = it.state() == schema::LISTED_STATE_LEAVING ? listing.leaving : listing.live;
        names.insert(TargetName(it.name()));
    }
    m_targetPresence.applyListing(listing, clock.now);
    for (const PresenceChange &it : m_targetPresence.takeChanges(clock.now)) {
        m_placer->setLeaving(it.target, it.leaving, clock.now);
    }
}

} // namespace Eelgrasscleat
