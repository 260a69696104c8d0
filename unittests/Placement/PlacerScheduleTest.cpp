/// @file
/// Random schedules of events with fixed seeds; invariants hold after every step.
#include <eelgrasscleat/Placement/HealthTracker.h>

#include <eelgrasscleat/Placement/Placer.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <sstream>

namespace Eelgrasscleat
{

namespace
{

constexpr std::uint64_t kSeeds = 1500;
constexpr int kSteps = 250;
constexpr std::uint32_t kTargets = 7;
constexpr std::array<PlacementOutcome, 6> kOutcomes { PlacementOutcome::Done,        PlacementOutcome::Failed,
                                                      PlacementOutcome::Refused,     PlacementOutcome::Leaving,
                                                      PlacementOutcome::Unreachable, PlacementOutcome::Lost };

/// What a target should look like from outside.
struct ModelTarget
{
    bool present = false;
    bool leaving = false;
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t probes = 0;
};

/// One schedule: random events against a placer, with a model beside it.
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_seed(seed)
        , m_random(seed)
        , m_placer(makeAdaptivePlacer(AdaptivePlacerSettings { (seed % 3) / 2.0 }))
    {
        m_request.service = ServiceName("roster-desk");
    }

    void run()
    {
        for (int step = 0; step < kSteps; ++step) {
            act();
        }
        checkNothingLeaked();
    }

    [[nodiscard]] std::string log() const
    {
        return m_log.str();
    }

private:
    struct Attempt
    {
        Placement placement;
        std::uint32_t target = 0;
    };

    void act()
    {
        const std::uint64_t kind = drawBelow(m_random, 100);
        const auto target = static_cast<std::uint32_t>(drawBelow(m_random, kTargets));
        m_now += Duration(drawBelow(m_random, 20000));
        if (kind < 50) {
            start();
        } else if (kind < 80) {
            endOne(kOutcomes.at(drawBelow(m_random, 2) == 0 ? 0 : drawBelow(m_random, kOutcomes.size())));
        } else if (kind < 85) {
            endAgain();
        } else if (kind < 88) {
            setLeaving(target, drawBelow(m_random, 2) == 0);
        } else if (kind < 91) {
            remove(target);
        } else if (kind < 96) {
            add(target, 1 + static_cast<std::uint32_t>(drawBelow(m_random, 8)));
        } else if (kind < 98) {
            share(1 + static_cast<std::uint32_t>(drawBelow(m_random, 4)));
        } else {
            m_now += std::chrono::seconds(drawBelow(m_random, 5));
        }
    }

    void start()
    {
        m_request.urgent = drawBelow(m_random, 2) == 0;
        const auto placement = m_placer->choose(m_request, m_now, m_random);
        if (!placement) {
            return;
        }
        const auto n = static_cast<std::uint32_t>(std::stoul(placement->target.value));
        m_log << "start " << n << (placement->probe ? " probe\n" : "\n");
        ModelTarget &target = m_targets.at(n);
        require(target.present, "a removed target got work");
        require(!target.leaving, "a leaving target got work");
        require(target.running < target.slots, "a target got more than its slots");
        require(!placement->probe || target.probes == 0, "a target got a second probe");
        m_placer->attemptStarted(*placement, m_now);
        ++target.running;
        target.probes += placement->probe ? 1 : 0;
        m_running.push_back(Attempt { *placement, n });
    }

    void endOne(PlacementOutcome outcome)
    {
        if (m_running.empty()) {
            return;
        }
        const auto n = static_cast<std::ptrdiff_t>(drawBelow(m_random, m_running.size()));
        const Attempt attempt = m_running.at(n);
        m_running.erase(m_running.begin() + n);
        m_log << "end " << attempt.target << " outcome " << static_cast<int>(outcome) << "\n";
        m_placer->attemptEnded(attempt.placement, m_request, outcome, std::chrono::milliseconds(100), m_now);
        ModelTarget &target = m_targets.at(attempt.target);
        --target.running;
        target.probes -= attempt.placement.probe ? 1 : 0;
        target.leaving = target.leaving || (outcome == PlacementOutcome::Leaving && isKnown(target));
        m_ended.push_back(attempt);
    }

    void endAgain()
    {
        if (m_ended.empty()) {
            return;
        }
        const Attempt &attempt = m_ended.at(drawBelow(m_random, m_ended.size()));
        m_log << "end again " << attempt.target << "\n";
        m_placer->attemptEnded(attempt.placement, m_request, kOutcomes.at(drawBelow(m_random, 6)), Duration(1), m_now);
    }

    /// A removed target is forgotten with its last attempt, and its leaving too.
    static bool isKnown(const ModelTarget &target)
    {
        return target.present || target.running > 0;
    }

    void setLeaving(std::uint32_t n, bool leaving)
    {
        m_log << "leaving " << n << " " << leaving << "\n";
        m_placer->setLeaving(name(n), leaving, m_now);
        m_targets.at(n).leaving = isKnown(m_targets.at(n)) && leaving;
    }

    void remove(std::uint32_t n)
    {
        m_log << "remove " << n << "\n";
        m_placer->removeTarget(name(n));
        m_targets.at(n).present = false;
    }

    void add(std::uint32_t n, std::uint32_t slots)
    {
        m_log << "add " << n << " slots " << slots << "\n";
        ModelTarget &target = m_targets.at(n);
        target.leaving = isKnown(target) && target.leaving;
        target.present = true;
        target.slots = slots;
        const std::string rack = n < 4 ? "rack1" : "rack2";
        const TargetInfo info { name(n), m_request.service, ZoneName("Moshi"), rack, slots, 60, Requirements() };
        m_placer->setTarget(info, m_now);
    }

    void share(std::uint32_t instances)
    {
        m_log << "share of " << instances << "\n";
        m_placer->setSlotShare(SlotShare { instances, static_cast<std::uint32_t>(drawBelow(m_random, instances)) });
    }

    /// After all attempts have ended and all targets have proved healthy, every slot can be used again.
    void checkNothingLeaked()
    {
        while (!m_running.empty()) {
            endOne(PlacementOutcome::Done);
        }
        m_placer->setSlotShare(SlotShare {});
        for (std::uint32_t n = 0; n < kTargets; ++n) {
            add(n, 8);
            setLeaving(n, false);
        }
        for (int n = 0; n < 25; ++n) {
            m_now += std::chrono::seconds(10);
            for (std::uint32_t task = 0; task < kTargets * 8; ++task) {
                start();
            }
            while (!m_running.empty()) {
                endOne(PlacementOutcome::Done);
            }
        }
        for (std::uint32_t n = 0; n < 2 * kTargets * 8; ++n) {
            start();
        }
        std::uint32_t used = 0;
        for (const ModelTarget &target : m_targets) {
            used += target.running;
        }
        require(used == kTargets * 8, "slots were lost: " + std::to_string(used) + " can be used");
    }

    static TargetName name(std::uint32_t n)
    {
        return TargetName(std::to_string(n));
    }

    void require(bool holds, const std::string &what) const
    {
        if (!holds) {
            CPPUNIT_FAIL("seed " + std::to_string(m_seed) + ": " + what + "\n" + m_log.str());
        }
    }

    std::uint64_t m_seed;
    RandomSource m_random;
    std::unique_ptr<Placer> m_placer;
    PlacementRequest m_request;
    Instant m_now { std::chrono::hours(1) };
    std::array<ModelTarget, kTargets> m_targets;
    std::vector<Attempt> m_running;
    std::vector<Attempt> m_ended;
    std::ostringstream m_log;
};

} // namespace

class PlacerScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacerScheduleTest);
    CPPUNIT_TEST(schedule_anyOrderOfEvents_slotsAndProbesHold);
    CPPUNIT_TEST(schedule_sameSeed_sameDecisions);
    CPPUNIT_TEST(schedule_anyOutcomes_atMostAThirdIsEjected);
    CPPUNIT_TEST_SUITE_END();

public:
    void schedule_anyOrderOfEvents_slotsAndProbesHold()
    {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            Schedule(seed).run();
        }
    }

    void schedule_sameSeed_sameDecisions()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            Schedule first(seed);
            Schedule second(seed);
            first.run();
            second.run();
            CPPUNIT_ASSERT_EQUAL(first.log(), second.log());
        }
    }

    void schedule_anyOutcomes_atMostAThirdIsEjected()
    {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            runHealth(seed);
        }
    }

private:
    static void runHealth(std::uint64_t seed)
    {
        RandomSource random(seed);
        HealthTracker health;
        std::map<TargetIndex, std::string> zones;
        std::ostringstream log;
        const auto count = static_cast<TargetIndex>(2 + drawBelow(random, 12));
        Instant now {};
        for (int step = 0; step < kSteps; ++step) {
            now += std::chrono::milliseconds(drawBelow(random, 300));
            const auto target = static_cast<TargetIndex>(drawBelow(random, count));
            if (!zones.contains(target) || drawBelow(random, 40) == 0) {
                zones[target] = drawBelow(random, 3) == 0 ? "Karatu" : "Moshi";
                log << "add " << target << " to " << zones[target] << "\n";
                health.add(target, infoIn(zones[target], target));
            } else if (drawBelow(random, 60) == 0) {
                log << "remove " << target << "\n";
                health.remove(target);
                zones.erase(target);
            } else {
                const PlacementOutcome outcome = kOutcomes.at(target < count / 2 ? 5 : drawBelow(random, 6));
                const bool probe = health.state(target) == HealthState::Ejected && health.nextProbeAt(target) <= now;
                log << "end " << target << " outcome " << static_cast<int>(outcome) << " probe " << probe << "\n";
                if (probe) {
                    health.recordProbeStart(target);
                }
                health.recordOutcome(target, outcome, probe, now);
            }
            for (const char *zone : { "Karatu", "Moshi" }) {
                if (!isCapKept(health, zones, zone)) {
                    CPPUNIT_FAIL("seed " + std::to_string(seed) + ": too many ejected in " + zone + "\n" + log.str());
                }
            }
        }
    }

    static TargetInfo infoIn(const std::string &zone, TargetIndex target)
    {
        const std::string rack = "rack" + std::to_string(target % 2);
        return { TargetName(std::to_string(target)), ServiceName("s"), ZoneName(zone), rack, 8, 60, Requirements() };
    }

    static bool
    isCapKept(const HealthTracker &health, const std::map<TargetIndex, std::string> &zones, const std::string &zone)
    {
        std::uint32_t members = 0;
        std::uint32_t ejected = 0;
        for (const auto &[target, its] : zones) {
            members += its == zone ? 1 : 0;
            ejected += its == zone && health.state(target) != HealthState::Serving ? 1 : 0;
        }
        return 3 * ejected <= members;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacerScheduleTest);

} // namespace Eelgrasscleat
