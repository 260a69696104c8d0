/// @file
/// Joins the decision parts of one instance. A decision of one part reaches another only after the first has returned:
/// what parts say to each other within the instance goes through queues that settle() empties.
#pragma once

#include "DecisionLog.h"
#include "PeerLink.h"

#include <eelgrasscleat/Node/DispatchNode.h>

#include <QTimer>

#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace Eelgrasscleat
{

class DispatchNode::Impl : public CallerEventHandler,
                           public StoreEventHandler,
                           public CommandResultHandler,
                           public PeerEvents,
                           public JobRouterObserver,
                           public DispatcherObserver
{
public:
    Impl(const NodeSettings &settings, TargetCommands &orders, Metrics &metrics, std::uint64_t random);

    Result<Done> start(CallerFrontend &callers, CoordinationStore &store);
    void beginStop(std::function<void()> stopped);

    // What callers do.
    void requestReceived(CallerRequest request) override;
    void callerDisconnected(CallerId caller) override;

    // What the store tells.
    void configurationReceived(FleetConfiguration configuration) override;
    void targetUpdated(const DispatchTarget &target) override;
    void targetRemoved(const TargetName &target) override;
    void targetListReceived(const std::vector<DispatchTarget> &targets) override;
    void instanceUpdated(const InstanceRegistration &instance) override;
    void instanceRemoved(const InstanceName &name) override;
    void recordRejected(const Error &error) override;
    void storeReachabilityChanged(bool reachable, const std::string &detail) override;

    // Answers of targets.
    void startAnswered(const TargetName &target, const RunName &run, const CommandResult &result) override;
    void stopAnswered(const TargetName &target, const RunName &run, const CommandResult &result) override;
    void inspected(const TargetName &target,
                   std::uint64_t number,
                   const TargetReport &report,
                   const CommandResult &result) override;
    void inspectionFailed(const TargetName &target, std::uint64_t number, const CommandResult &result) override;

    // What peers do.
    bool peerHeard(const InstanceName &peer) override;
    void peerStatus(const InstanceName &peer, const ZoneName &zone, bool owner, const DispatcherLoad &load) override;
    void sessionEnded(const InstanceName &peer, const std::string &why) override;
    void peerSubmitted(const InstanceName &peer, std::uint64_t ticket, JobRequest request) override;
    void peerWithdrew(const InstanceName &peer, std::uint64_t ticket) override;
    void peerEnded(const InstanceName &peer, const JobEnd &end) override;
    void configurationOffered(const InstanceName &peer, FleetConfiguration configuration) override;
    const FleetConfiguration &configuration() override;

    // What the home decides.
    void jobRouted(const InstanceName &dispatcher, std::uint64_t ticket, const JobRequest &request) override;
    void jobWithdrawn(const InstanceName &dispatcher, std::uint64_t ticket) override;
    void jobAnswered(CallerId caller, const JobEnd &end) override;

    // What the dispatcher decides.
    void jobEnded(const InstanceName &home, const JobEnd &end) override;
    void jobTooLate(const JobId &id, const LatenessEstimate &inputs) override;
    void runDecided(std::string_view decision, const RunName &run, const TargetName &target, double detail) override;
    void tokenFenced(FencingToken token, const TargetName &target) override;
    void targetChanged(std::string_view change, const TargetName &target, std::uint64_t detail) override;

private:
    /// A caller's job between its request and its answer.
    struct Arrival
    {
        JobId job;
        std::string requestId;
        RouteName route;
        Instant at;
    };

    bool enter();
    void settle();
    void advance();
    void recoverFromStandstill(Duration gap);
    void submitJob(CallerRequest &request, const FleetRoute *route);
    void refuse(const CallerRequest &request, const JobId &id, JobEndReason reason);
    void applyConfiguration(FleetConfiguration configuration, const std::string &source);
    void advanceOwnership();
    void applyOwnership();
    void ownTarget(const DispatchTarget &target);
    void ownAllTargets();
    [[nodiscard]] bool isHandoverIdle() const;
    [[nodiscard]] ShardNumber shardOfTarget(const TargetName &target) const;
    void advanceStop();

    NodeSettings m_settings;
    DecisionLog m_log;
    Dispatcher m_dispatcher;
    JobRouter m_home;
    ZoneOwnership m_ownership;
    ConfigurationView m_configuration;
    TargetList m_targets;
    PeerLink m_link;
    QTimer m_timer;
    CallerFrontend *m_callers = nullptr;
    CoordinationStore *m_store = nullptr;
    Instant m_now {};
    std::map<CallerId, Arrival> m_arrivals;
    std::map<ShardNumber, FencingToken> m_shards; ///< Under which tokens targets are owned at present.
    std::deque<std::function<void()>> m_local; ///< What one part says to another.
    bool m_ready = false;

    // Planned stop.
    std::function<void()> m_stopped;
    Instant m_stopBegan {};
    bool m_closing = false;
    bool m_withdrawing = false;
};

} // namespace Eelgrasscleat
