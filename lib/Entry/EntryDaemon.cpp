/// @file
/// Lifecycle of the threads of an entry process, and delivery of actions from the ring buffers.
#include <eelgrasscleat/Entry/EntryDaemon.h>

#include "CallerServer.h"
#include "CoreRunner.h"
#include "EventLoopThread.h"
#include "OperatorServer.h"
#include "PeerMessenger.h"
#include "PlatformClient.h"
#include "StartSender.h"

#include <eelgrasscleat/Support/Log.h>
#include <eelgrasscleat/Support/Metrics.h>

#include <random>

namespace Eelgrasscleat
{

/// Capacity of the ring that passes status snapshots to the operators' thread.
static constexpr std::size_t StatusRingEntries = 4;

static IncarnationId generateIncarnation()
{
    std::random_device device;
    std::uint64_t number = 0;
    while (number == 0) {
        number = (static_cast<std::uint64_t>(device()) << 32) | device();
    }
    return IncarnationId(number);
}

class EntryDaemon::Impl
{
public:
    explicit Impl(const schema::EntrySettings &settings)
        : m_settings(settings)
        , m_self(generateIncarnation())
        , m_ringEntries(settings.dispatch().ring_entries())
        , m_events(m_ringEntries,
                   settings.dispatch().target_threads(),
                   [this] { m_coreThread.post([this] { processEvents(); }); })
        , m_rings { { m_ringEntries, [this] { m_callerThread.post([this] { sendAnswers(); }); } },
                    { m_ringEntries, [this] { m_peerThread.post([this] { sendMessages(); }); } },
                    { m_ringEntries, [this] { m_platformThread.post([this] { executePlatformActions(); }); } },
                    { StatusRingEntries, [this] { m_operatorThread.post([this] { updateStatus(); }); } } }
    {
        for (std::size_t i = 0; i < settings.dispatch().target_threads(); ++i) {
            m_targetThreads.push_back(std::make_unique<TargetThread>());
            TargetThread &targetThread = *m_targetThreads.back();
            const auto wake = [this, &targetThread, i] {
                targetThread.thread.post([this, &targetThread, i] { sendStarts(targetThread, i); });
            };
            m_rings.toTargets.push_back(std::make_unique<Ring<StartOnTarget>>(m_ringEntries, wake));
        }
    }

    ~Impl()
    {
        shutDown();
    }

    Impl(const Impl &) = delete;
    Impl &operator=(const Impl &) = delete;

    Result<EntryPorts> start()
    {
        for (EventLoopThread *it : allThreads()) {
            it->start();
        }
        m_running = true;
        EntryPorts ports;
        std::vector<Error> errors;
        const auto recordPort = [&errors](std::uint16_t &port, const Result<std::uint16_t> &result) {
            if (isOk(result)) {
                port = std::get<std::uint16_t>(result);
            } else {
                errors.push_back(std::get<Error>(result));
            }
        };
        for (std::size_t i = 0; i < m_targetThreads.size(); ++i) {
            m_targetThreads[i]->thread.runAndWait(
                [this, i] { m_targetThreads[i]->sender = std::make_unique<StartSender>(*m_events.fromTargets[i]); });
        }
        m_platformThread.runAndWait([this] {
            m_platformClient = std::make_unique<PlatformClient>(m_settings, m_events.fromPlatform, m_metrics);
        });
        m_operatorThread.runAndWait([&] {
            m_operatorServer = std::make_unique<OperatorServer>(m_settings, m_flags.ready, m_metrics);
            recordPort(ports.operators, m_operatorServer->listen());
        });
        m_peerThread.runAndWait([&] {
            m_peerMessenger = std::make_unique<PeerMessenger>(m_settings, m_self, m_events.fromPeers, m_metrics);
            recordPort(ports.peers, m_peerMessenger->start());
        });
        m_coreThread.runAndWait([this] {
            m_coreRunner = std::make_unique<CoreRunner>(m_settings, m_self, m_events, m_rings, m_flags, m_metrics);
        });
        m_callerThread.runAndWait([&] {
            m_callerServer = std::make_unique<CallerServer>(m_settings, m_events.fromCallers, m_ringEntries, m_metrics);
            recordPort(ports.callers, m_callerServer->listen());
        });
        if (!errors.empty()) {
            shutDown();
            return errors.front();
        }
        writeLog(LogLevel::Info,
                 "entry instance started",
                 { { "instance", m_settings.name() }, { "incarnation", m_self.value } });
        return ports;
    }

    void beginStop()
    {
        if (m_stopping.exchange(true)) {
            return;
        }
        // Readiness is withdrawn first, so that the load balancer redirects callers before this instance refuses any.
        m_coreThread.post([this] { m_coreRunner->beginStop(); });
        m_callerThread.post([this] { m_callerServer->beginStop(); });
    }

    [[nodiscard]] bool isStopped()
    {
        if (!m_running || !m_flags.stopped.load()) {
            return !m_running;
        }
        bool idle = false;
        m_callerThread.runAndWait([&] {
            m_callerServer->stopListening();
            idle = m_callerServer->isIdle();
        });
        bool flushed = false;
        m_peerThread.runAndWait([&] { flushed = m_peerMessenger->isFlushed(); });
        return idle && flushed;
    }

    void shutDown()
    {
        if (!m_running) {
            return;
        }
        m_running = false;
        // Each object is destroyed on its own thread, writers of a ring before its readers.
        m_callerThread.runAndWait([this] { m_callerServer.reset(); });
        m_coreThread.runAndWait([this] { m_coreRunner.reset(); });
        for (const auto &it : m_targetThreads) {
            it->thread.runAndWait([&it] { it->sender.reset(); });
        }
        m_peerThread.runAndWait([this] { m_peerMessenger.reset(); });
        m_platformThread.runAndWait([this] { m_platformClient.reset(); });
        m_operatorThread.runAndWait([this] { m_operatorServer.reset(); });
        for (EventLoopThread *it : allThreads()) {
            it->stop();
        }
    }

private:
    /// A thread that sends starts to the targets assigned to it.
    struct TargetThread
    {
        EventLoopThread thread { "targets" };
        std::unique_ptr<StartSender> sender;
    };

    std::vector<EventLoopThread *> allThreads()
    {
        std::vector<EventLoopThread *> all {
            &m_callerThread, &m_coreThread, &m_peerThread, &m_platformThread, &m_operatorThread
        };
        for (const auto &it : m_targetThreads) {
            all.push_back(&it->thread);
        }
        return all;
    }

    void processEvents()
    {
        if (m_coreRunner) {
            m_coreRunner->processEvents();
        }
    }

    void sendAnswers()
    {
        m_rings.toCallers.acknowledgeWake();
        AnswerCaller action;
        while (m_callerServer && m_rings.toCallers.tryPop(action)) {
            m_callerServer->answer(action);
        }
    }

    void sendStarts(TargetThread &targetThread, std::size_t index)
    {
        Ring<StartOnTarget> &ring = *m_rings.toTargets[index];
        ring.acknowledgeWake();
        StartOnTarget action;
        while (targetThread.sender && ring.tryPop(action)) {
            targetThread.sender->start(action);
        }
    }

    void sendMessages()
    {
        m_rings.toPeers.acknowledgeWake();
        SendToPeer action;
        while (m_peerMessenger && m_rings.toPeers.tryPop(action)) {
            m_peerMessenger->send(std::move(action));
        }
    }

    void executePlatformActions()
    {
        m_rings.toPlatform.acknowledgeWake();
        PlatformAction action;
        while (m_platformClient && m_rings.toPlatform.tryPop(action)) {
            m_platformClient->execute(action);
        }
    }

    void updateStatus()
    {
        m_rings.toOperators.acknowledgeWake();
        StatusSnapshot status;
        while (m_operatorServer && m_rings.toOperators.tryPop(status)) {
            m_operatorServer->setStatus(std::move(status));
        }
    }

    schema::EntrySettings m_settings;
    IncarnationId m_self;
    std::size_t m_ringEntries;
    Metrics m_metrics;
    CoreFlags m_flags;
    EventRings m_events;
    ActionRings m_rings;
    EventLoopThread m_callerThread { "callers" };
    EventLoopThread m_coreThread { "decisions" };
    std::vector<std::unique_ptr<TargetThread>> m_targetThreads;
    EventLoopThread m_peerThread { "peers" };
    EventLoopThread m_platformThread { "platform" };
    EventLoopThread m_operatorThread { "operators" };
    std::unique_ptr<CallerServer> m_callerServer;
    std::unique_ptr<CoreRunner> m_coreRunner;
    std::unique_ptr<PeerMessenger> m_peerMessenger;
    std::unique_ptr<PlatformClient> m_platformClient;
    std::unique_ptr<OperatorServer> m_operatorServer;
    std::atomic<bool> m_stopping { false };
    bool m_running = false;
};

EntryDaemon::EntryDaemon(const schema::EntrySettings &settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

EntryDaemon::~EntryDaemon() = default;

Result<EntryPorts> EntryDaemon::start()
{
    return m_impl->start();
}

void EntryDaemon::beginStop()
{
    m_impl->beginStop();
}

bool EntryDaemon::isStopped() const
{
    return m_impl->isStopped();
}

void EntryDaemon::shutDown()
{
    m_impl->shutDown();
}

} // namespace Eelgrasscleat
