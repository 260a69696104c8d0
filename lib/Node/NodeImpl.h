/// @file
/// Connects the components of one instance. Calls between components are deferred until the calling component has
/// returned: they are queued and executed by runDeferredCalls(), so that no component is re-entered.
#pragma once

#include "DecisionLog.h"
#include "PeerLink.h"

#include <eelgrasscleat/Dispatch/TargetListRefresh.h>
#include <eelgrasscleat/Node/DispatchNode.h>

#include <QTimer>

#include <deque>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace Eelgrasscleat
{

class DispatchNode::Impl : public CallerEventHandler,
                           public StoreEventHandler,
                           public CommandResultHandler,
                           public PeerEventHandler,
                           public JobRouterObserver,
                           public DispatcherObserver
{
public:
    Impl(const NodeSettings &settings, TargetCommands &commands, Metrics &metrics, std::uint64_t random);

    Result<Done> start(CallerFrontend &callers, CoordinationStore &store);
    void beginStop(std::function<void()> stopped);

    // CallerEventHandler.
    void requestReceived(CallerRequest request) override;
    void callerDisconnected(CallerId caller) override;

    // StoreEventHandler.
    void configurationReceived(FleetConfiguration configuration) override;
    void evacuationsListed(EvacuatedZones zones) override;
    void evacuationChanged(const ZoneName &zone, bool evacuated, std::uint64_t version) override;
    void targetUpdated(const DispatchTarget &target, std::uint64_t version) override;
    void targetRemoved(const TargetName &target, std::uint64_t version) override;
    void targetListReceived(const TargetListing &listing) override;
    void targetListConfirmed() override;
    void crashPublished(const TargetCrash &crash) override;
    void crashWithdrawn(const TargetLife &target) override;
    void instanceUpdated(const InstanceRegistration &instance) override;
    void instanceRemoved(const InstanceName &name) override;
    void recordRejected(const Error &error) override;
    void storeReachabilityChanged(bool reachable, const std::string &detail) override;

    // CommandResultHandler.
    void startAnswered(const TargetName &target, const RunName &run, const CommandResult &result) override;
    void stopAnswered(const TargetName &target, const RunName &run, const CommandResult &result) override;
    void inspected(const TargetName &target,
                   std::uint64_t number,
                   const TargetReport &report,
                   const CommandResult &result) override;
    void inspectionFailed(const TargetName &target, std::uint64_t number, const CommandResult &result) override;

    // PeerEventHandler.
    bool peerMessageReceived(const InstanceName &peer) override;
    void peerContacted(const InstanceName &peer, Instant when) override;
    void
    peerStatusReceived(const InstanceName &peer, const ZoneName &zone, bool owner, const DispatcherLoad &load) override;
    void sessionEnded(const InstanceName &peer, const std::string &why) override;
    void peerEvacuationsReceived(const InstanceName &peer, EvacuatedZones zones) override;
    void peerSubmittedJob(const InstanceName &peer, std::uint64_t ticket, JobRequest request) override;
    void peerCanceledJob(const InstanceName &peer, std::uint64_t ticket) override;
    void peerReportedJobEnd(const InstanceName &peer, const JobEnd &end) override;
    void peerConfigurationReceived(const InstanceName &peer, FleetConfiguration configuration) override;
    const FleetConfiguration &configuration() override;
    void peerRequestedTargets(const InstanceName &peer, const ZoneName &zone) override;
    void peerReturnedTargets(const InstanceName &peer, const std::optional<TargetListing> &listing) override;

    // JobRouterObserver.
    void jobRouted(const InstanceName &dispatcher, std::uint64_t ticket, const JobRequest &request) override;
    void jobWaits(const JobRequest &request, Instant until) override;
    void jobWithdrawn(const InstanceName &dispatcher, std::uint64_t ticket) override;
    void jobAnswered(CallerId caller, const JobEnd &end) override;

    // DispatcherObserver.
    void jobEnded(const InstanceName &home, const JobEnd &end) override;
    void jobTooLate(const JobId &id, const LatenessEstimate &estimate) override;
    void runDecided(std::string_view decision, const RunName &run, const TargetName &target, double detail) override;
    void tokenFenced(FencingToken token, const TargetName &target) override;
    void targetCrashed(const TargetCrash &crash) override;
    void crashForgotten(const TargetLife &target) override;
    void targetChanged(std::string_view change, const TargetName &target, std::uint64_t detail) override;

private:
    /// A caller's submission that has not been answered yet.
    struct PendingRequest
    {
        JobId job;
        std::string requestId;
        RouteName route;
        Instant receivedAt;
    };

    /// A submission that arrived before the first configuration.
    struct UnconfiguredRequest
    {
        CallerRequest request;
        Instant receivedAt;
    };

    bool beginEvent();
    void runDeferredCalls();
    void advance();
    void recoverFromStall(Duration gap);
    void submitJob(CallerRequest &request, const FleetRoute *route, Instant receivedAt);
    void submitUnconfigured();
    void refuseUnconfigured();
    void refuse(const CallerRequest &request, const JobId &id, JobEndReason reason);
    void applyConfiguration(FleetConfiguration configuration, const std::string &source);
    void applyEvacuations(const std::set<ZoneName> &before, const std::string &source);
    void advanceOwnership();
    void applyOwnership();
    void refreshTargetList();
    void applyListing(const TargetListing &listing);
    void assignTargetIfOwned(const DispatchTarget &target);
    void assignOwnedTargets();
    [[nodiscard]] bool areHandoverTargetsIdle() const;
    [[nodiscard]] std::size_t zoneTargets() const;
    [[nodiscard]] ShardNumber shardOfTarget(const TargetName &target) const;
    void advanceStop();

    NodeSettings m_settings;
    DecisionLog m_log;
    Dispatcher m_dispatcher;
    JobRouter m_router;
    ZoneOwnership m_ownership;
    ConfigurationView m_configuration;
    EvacuationView m_evacuations;
    TargetList m_targets;
    TargetListRefresh m_targetListRefresh;
    bool m_isTargetListStale = false;
    bool m_isTargetListRelayed = false; ///< A peer has returned the list since the store last did.
    PeerLink m_peerLink;
    QTimer m_advanceTimer;
    CallerFrontend *m_callers = nullptr;
    CoordinationStore *m_store = nullptr;
    Instant m_now {};
    Instant m_startedAt {};
    std::map<CallerId, PendingRequest> m_pendingRequests;
    std::vector<UnconfiguredRequest> m_unconfigured;
    std::map<ShardNumber, FencingToken> m_ownedShards; ///< Owned shards, with the tokens for commands to their targets.
    std::deque<std::function<void()>> m_deferredCalls; ///< Calls between components.
    bool m_ready = false;

    // Graceful shutdown.
    std::function<void()> m_onStopped;
    Instant m_stopStartedAt {};
    bool m_isClosingConnections = false;
    bool m_isDeregistering = false;
};

} // namespace Eelgrasscleat
