/// @file
/// A fleet whose targets are divided among several owners, with homes whose views of the owners are some statuses old.
#pragma once

#include "FakeFleet.h"
#include "JobEndObserver.h"

#include <eelgrasscleat/Dispatch/JobRouter.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <numeric>
#include <vector>

namespace Eelgrasscleat
{

/// A kind of job: two of its tasks fit a target only if their sizes do.
struct JobKind
{
    std::uint32_t priority;
    std::uint32_t meanTasks;
    Duration work;
    double share; ///< Of all jobs.
    double worth;
};

constexpr JobKind kKinds[] = {
    { 0, 8, std::chrono::milliseconds(60), 0.244, 0.00485 },
    { 1, 2, std::chrono::milliseconds(200), 0.711, 0.00167 },
    { 2, 4, std::chrono::milliseconds(900), 0.045, 0.0267 },
};
constexpr double kLateWorth = 0.2;
constexpr Duration kMessageTime = std::chrono::microseconds(700);
constexpr Duration kStatusInterval = std::chrono::milliseconds(80);

/// How the targets are dealt to the owners.
enum class TargetDeal
{
    ByTurns, ///< With three owners, each gets the targets of one speed.
    Shuffled, ///< As by the hash of their names.
};

/// The targets, and the load on them.
struct FleetLoad
{
    std::size_t targets = 117;
    double fleetTargets = 350; ///< Targets of the fleet to which the arrival rates refer.
    FleetShape shape { { 0.6, 1.0, 1.6 }, { 64000, 64000, 96000 } };
    double meanMilliCores = 32000;
    double maxMilliCores = 48000;
    double burst = 1; ///< Factor of the arrival rate from the third second to the sixth.
};

/// Jobs of one kind and what their callers got.
struct KindTally
{
    int submitted = 0;
    int inTime = 0;
};

/// Owners, homes, and the messages between them.
class DividedFleet
{
public:
    DividedFleet(std::uint64_t seed,
                 std::size_t owners,
                 std::size_t homes,
                 std::size_t maxParts,
                 TargetDeal deal = TargetDeal::ByTurns,
                 FleetLoad fleetLoad = {})
        : load(std::move(fleetLoad))
        , fleet(queue, seed)
    {
        fleet.addTargets(load.targets, load.shape);
        JobRouterPolicy policy;
        policy.division.maxParts = maxParts;
        for (std::size_t i = 0; i < owners; ++i) {
            m_owners.push_back(std::make_unique<Owner>(*this, InstanceName("owner-" + std::to_string(i))));
        }
        for (std::size_t i = 0; i < homes; ++i) {
            m_homes.push_back(std::make_unique<Home>(*this, policy, InstanceName("home-" + std::to_string(i))));
        }
        std::vector<std::size_t> turns(fleet.targets.size());
        std::iota(turns.begin(), turns.end(), std::size_t { 0 });
        if (deal == TargetDeal::Shuffled) {
            std::shuffle(turns.begin(), turns.end(), fleet.random);
        }
        for (std::size_t i = 0; i < fleet.targets.size(); ++i) {
            m_owners[turns[i] % owners]->dispatcher.targetOwned(
                fleet.targets[i].description, FencingToken(1), queue.now());
        }
        tick();
        queue.runUntil(queue.now() + std::chrono::milliseconds(500));
    }

    void play(double jobsPerSecond, std::chrono::seconds length)
    {
        std::exponential_distribution<double> gap(jobsPerSecond * static_cast<double>(load.targets)
                                                  / load.fleetTargets);
        const auto factor = [this](double at) { return at >= 2 && at < 6 ? load.burst : 1; };
        const auto end = static_cast<double>(length.count());
        for (double at = gap(fleet.random); at < end; at += gap(fleet.random) / factor(at)) {
            queue.after(Duration(static_cast<Duration::rep>(at * 1e6)), [this] { submit(); });
        }
        queue.runUntil(queue.now() + length + std::chrono::seconds(5));
        CPPUNIT_ASSERT_EQUAL(submitted, answered);
        CPPUNIT_ASSERT_MESSAGE(fleet.violations().empty() ? "" : fleet.violations().front(),
                               fleet.violations().empty());
    }

    /// No message of the owner arrives any more, and it gets none.
    void loseOwner(std::size_t owner)
    {
        Owner &lost = *m_owners[owner];
        lost.isLost = true;
        queue.after(std::chrono::milliseconds(300), [this, &lost] {
            for (const auto &it : m_homes) {
                it->router.dispatcherLost(lost.name);
                lost.dispatcher.homeLost(it->name, queue.now());
            }
        });
    }

    FleetLoad load;
    EventQueue queue;
    FakeFleet fleet;
    std::map<std::uint32_t, KindTally> tallies; ///< By priority.
    double owed = 0;
    double earned = 0;
    int submitted = 0;
    int answered = 0;
    int complete = 0;
    int abandoned = 0; ///< The caller isn't told whether the job has run.
    int falseRefusals = 0; ///< Refused as not run, though a task was started.
    int messages = 0;

private:
    struct Owner : JobEndObserver
    {
        Owner(DividedFleet &parent, InstanceName ownName)
            : name(std::move(ownName))
            , commands(parent.fleet, parent.queue)
            , dispatcher(DispatcherPolicy(), commands, *this)
            , fleet(parent)
        {
            commands.dispatcher = &dispatcher;
        }
        void jobEnded(const InstanceName &home, const JobEnd &end) override
        {
            fleet.send(*this, [this, home, end] { fleet.home(home).router.jobEnded(name, end, fleet.queue.now()); });
        }

        InstanceName name;
        FakeTargetCommands commands;
        Dispatcher dispatcher;
        DividedFleet &fleet;
        bool isLost = false;
    };

    struct Home : JobRouterObserver
    {
        Home(DividedFleet &parent, const JobRouterPolicy &policy, InstanceName ownName)
            : name(std::move(ownName))
            , router(policy, ZoneName("zone"), *this)
            , fleet(parent)
        {
        }
        void jobRouted(const InstanceName &dispatcher, std::uint64_t ticket, const JobRequest &request) override
        {
            Owner &owner = fleet.owner(dispatcher);
            fleet.send(owner, [this, &owner, ticket, request] {
                owner.dispatcher.homeContacted(name, fleet.queue.now());
                owner.dispatcher.submit({ name, ticket }, request, fleet.queue.now());
            });
        }
        void jobWaits(const JobRequest &, Instant) override
        {
        }
        void jobWithdrawn(const InstanceName &dispatcher, std::uint64_t ticket) override
        {
            Owner &owner = fleet.owner(dispatcher);
            fleet.send(owner, [this, &owner, ticket] { owner.dispatcher.cancel({ name, ticket }, fleet.queue.now()); });
        }
        void jobAnswered(CallerId caller, const JobEnd &end) override
        {
            fleet.answer(caller, end);
        }

        InstanceName name;
        JobRouter router;
        DividedFleet &fleet;
    };

    struct Pending
    {
        double worth;
        Instant objective;
        std::uint32_t priority;
    };

    void send(const Owner &owner, std::function<void()> message)
    {
        ++messages;
        queue.after(kMessageTime, [&owner, message = std::move(message)] {
            if (!owner.isLost) {
                message();
            }
        });
    }

    Owner &owner(const InstanceName &name)
    {
        return **std::find_if(m_owners.begin(), m_owners.end(), [&name](const auto &it) { return it->name == name; });
    }

    Home &home(const InstanceName &name)
    {
        return **std::find_if(m_homes.begin(), m_homes.end(), [&name](const auto &it) { return it->name == name; });
    }

    void tick()
    {
        const bool isStatusDue = ++m_ticks % 2 == 0;
        for (const auto &owner : m_owners) {
            owner->dispatcher.advance(queue.now());
            for (const auto &home : m_homes) {
                if (isStatusDue && !owner->isLost) {
                    owner->dispatcher.homeContacted(home->name, queue.now());
                    home->router.dispatcherReported(
                        owner->name, ZoneName("zone"), owner->dispatcher.load(), queue.now());
                }
            }
        }
        for (const auto &it : m_homes) {
            it->router.advance(queue.now());
        }
        queue.after(kStatusInterval / 2, [this] { tick(); });
    }

    void submit()
    {
        std::lognormal_distribution<double> spread(-0.08, 0.4);
        std::normal_distribution<double> size(1, 0.2);
        double draw = std::uniform_real_distribution<double>(0, 1)(fleet.random);
        const JobKind *kind = std::begin(kKinds);
        while (kind + 1 != std::end(kKinds) && draw >= kind->share) {
            draw -= kind->share;
            ++kind;
        }
        JobRequest request;
        const auto caller = static_cast<std::uint64_t>(++submitted);
        request.id = JobId("job" + std::to_string(caller));
        request.route = RouteName("route" + std::to_string(kind->priority));
        request.service = ServiceName("service");
        request.payload = "payload";
        request.priority = kind->priority;
        request.attempts = 2;
        request.stretch = 1.6;
        request.latencyTarget = std::chrono::milliseconds(60);
        request.submitted = queue.now();
        request.deadline = queue.now() + std::chrono::milliseconds(3500);
        JobStep step;
        step.tasks = std::max(1U, static_cast<std::uint32_t>(std::lround(kind->meanTasks * spread(fleet.random))));
        const double milliCores = load.meanMilliCores * std::clamp(size(fleet.random), 0.5, 1.5);
        step.demand = { static_cast<std::uint32_t>(std::min(milliCores, load.maxMilliCores)), 64, 0 };
        const auto work = std::chrono::duration_cast<Duration>(kind->work * spread(fleet.random));
        step.estimate = std::chrono::duration_cast<Duration>(work * spread(fleet.random));
        request.steps.push_back(step);
        for (std::uint32_t i = 0; i < step.tasks; ++i) {
            fleet.registerTask({ request.id, 0, i }, step.demand, work);
        }
        const Duration allowed = std::chrono::duration_cast<Duration>(work * request.stretch) + request.latencyTarget;
        m_pending[caller] = { kind->worth, queue.now() + allowed, kind->priority };
        ++tallies[kind->priority].submitted;
        owed += kind->worth;
        m_homes[drawBelow(fleet.random, m_homes.size())]->router.submit(CallerId(caller), std::move(request));
    }

    void answer(CallerId caller, const JobEnd &end)
    {
        const Pending &job = m_pending.at(caller.value);
        ++answered;
        if (end.outcome == JobOutcome::Complete) {
            ++complete;
            const bool isInTime = queue.now() <= job.objective;
            tallies[job.priority].inTime += isInTime ? 1 : 0;
            earned += job.worth * (isInTime ? 1 : kLateWorth);
        }
        abandoned += end.outcome == JobOutcome::Abandoned ? 1 : 0;
        falseRefusals += end.outcome == JobOutcome::Refused && fleet.hasStarted(end.id) ? 1 : 0;
    }

    std::vector<std::unique_ptr<Owner>> m_owners;
    std::vector<std::unique_ptr<Home>> m_homes;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_ticks = 0;
};

/// @returns earned worth over owed worth of three schedules of wide jobs on the fleet.
/// @param maxParts 1 for whole jobs
inline double earnedShare(std::size_t owners,
                          std::size_t maxParts,
                          double jobsPerSecond,
                          TargetDeal deal = TargetDeal::ByTurns,
                          std::uint64_t seeds = 3)
{
    constexpr std::size_t kHomes = 8;
    double owed = 0;
    double earned = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        DividedFleet fleet(seed, owners, kHomes, maxParts, deal);
        fleet.play(jobsPerSecond, std::chrono::seconds(4));
        CPPUNIT_ASSERT_EQUAL(0, fleet.falseRefusals);
        owed += fleet.owed;
        earned += fleet.earned;
    }
    return earned / owed;
}

/// Asserts that jobs divided among three owners earn at most @p bound less than with one owner of all targets.
inline void assertCloseToOnePool(double jobsPerSecond, double bound)
{
    constexpr std::size_t kOwners = 3;
    const double pool = earnedShare(1, 1, jobsPerSecond);
    const double divided = earnedShare(kOwners, DivisionPolicy().maxParts, jobsPerSecond);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(jobsPerSecond) + " jobs/s: " + std::to_string(divided) + " divided, "
                               + std::to_string(pool) + " by one owner",
                           divided >= pool - bound);
}

} // namespace Eelgrasscleat
