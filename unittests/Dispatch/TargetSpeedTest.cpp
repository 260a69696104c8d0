/// @file
/// Learned speeds of targets: kinds, changes, and a reference that stays.
#include "../../lib/Dispatch/TargetSpeed.h"

#include <eelgrasscleat/Placement/SpeedModel.h>
#include <eelgrasscleat/Support/Random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace Eelgrasscleat
{

class TargetSpeedTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetSpeedTest);
    CPPUNIT_TEST(runs_twoKinds_ratioLearned);
    CPPUNIT_TEST(target_ofKnownKind_startsWithItsSpeed);
    CPPUNIT_TEST(target_becomesSlow_noticedAfterFewRuns);
    CPPUNIT_TEST(target_becomesSlow_othersKeepTheirSpeed);
    CPPUNIT_TEST(step_allTasksLonger_notTakenForSlowTargets);
    CPPUNIT_TEST(step_oneTaskLonger_itsTargetIsSlower);
    CPPUNIT_TEST(step_tasksDiffer_varianceTold);
    CPPUNIT_TEST(target_capacityShrinks_keepsSpeed);
    CPPUNIT_TEST(manyRuns_sizesAndSpeedsLearned_referenceStays);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_table = std::make_unique<SpeedTable>();
        m_speeds.clear();
        m_random.seed(1);
    }

    void runs_twoKinds_ratioLearned()
    {
        addTargets("a", 4);
        addTargets("b", 4);
        play(200, [](std::size_t target) { return target < 4 ? 0.7 : 1.7; });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.7 / 0.7, m_speeds[7].slowness() / m_speeds[0].slowness(), 0.3);
    }

    void target_ofKnownKind_startsWithItsSpeed()
    {
        addTargets("a", 4);
        addTargets("b", 4);
        play(200, [](std::size_t target) { return target < 4 ? 0.7 : 1.7; });
        addTargets("b", 1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(m_speeds[7].slowness(), m_speeds[8].slowness(), 0.3);
    }

    void target_becomesSlow_noticedAfterFewRuns()
    {
        addTargets("a", 8);
        play(200, [](std::size_t) { return 1.0; });
        constexpr int kRuns = 6;
        for (int i = 0; i < kRuns; ++i) {
            run(0, 5);
        }
        CPPUNIT_ASSERT(m_speeds[0].slowness() > 3);
    }

    void target_becomesSlow_othersKeepTheirSpeed()
    {
        addTargets("a", 8);
        play(200, [](std::size_t) { return 1.0; });
        play(50, [](std::size_t target) { return target == 0 ? 5.0 : 1.0; });
        CPPUNIT_ASSERT(m_speeds[0].slowness() > 3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, m_speeds[7].slowness(), 0.15);
    }

    void step_allTasksLonger_notTakenForSlowTargets()
    {
        addTargets("a", 8);
        play(200, [](std::size_t) { return 1.0; });
        const StepSize size = runStep(std::vector<double>(8, std::log(3)));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, std::exp(size.error), 0.3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, m_speeds[0].slowness(), 0.15);
    }

    void step_oneTaskLonger_itsTargetIsSlower()
    {
        addTargets("a", 8);
        std::vector<double> logRatios(8, 0);
        logRatios[0] = std::log(2);
        for (int i = 0; i < 3; ++i) {
            runStep(logRatios);
        }
        CPPUNIT_ASSERT(m_speeds[0].slowness() > 1.4 * m_speeds[1].slowness());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(m_speeds[1].slowness(), m_speeds[7].slowness(), 0.05);
    }

    void step_tasksDiffer_varianceTold()
    {
        addTargets("a", 2);
        const StepSize size = runStep({ 0.2, -0.2 });
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, size.error, 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.08, size.taskVariance, 1e-9);
    }

    void target_capacityShrinks_keepsSpeed()
    {
        addTargets("a", 4);
        addTargets("b", 4);
        play(200, [](std::size_t target) { return target < 4 ? 0.7 : 1.7; });
        const double before = m_speeds[7].slowness();
        DispatchTarget target = describe("b");
        target.capacity.milliCores /= 2;
        m_speeds[7].setKind(m_table->kindOf(target));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(before, m_speeds[7].slowness(), 1e-9);
    }

    void manyRuns_sizesAndSpeedsLearned_referenceStays()
    {
        // A minute of 300 runs a second, with two targets that are sick in turn.
        addTargets("a", 8);
        addTargets("b", 8);
        SizeModel sizes;
        constexpr int kSteps = 4500;
        constexpr int kTasks = 4;
        std::lognormal_distribution<double> spread(0, 0.4);
        for (int i = 0; i < kSteps; ++i) {
            const Duration hint(static_cast<Duration::rep>(200000 * spread(m_random)));
            const double actual = static_cast<double>(hint.count()) * spread(m_random);
            const double expected = sizes.expectedLogRun(hint);
            std::vector<MeasuredRun> runs;
            for (int task = 0; task < kTasks; ++task) {
                const std::size_t target = drawBelow(m_random, m_speeds.size());
                const bool isSick = target == static_cast<std::size_t>(i / 1000 % 2);
                const double slowness = (target < 8 ? 0.7 : 1.7) * (isSick ? 5 : 1);
                runs.push_back({ &m_speeds[target], std::log(actual * slowness) - expected });
            }
            const StepSize size = SpeedTable::learn(runs, sizes.noiseVariance(hint), sizes.taskVariance());
            sizes.addSample(hint, expected + size.error);
            sizes.changeReference(align());
        }
        const double reference = std::sqrt(0.7 * 1.7);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.7 / reference, m_speeds[4].slowness(), 0.1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.7 / reference, m_speeds[12].slowness(), 0.25);
        const double run = std::exp(sizes.expectedLogRun(std::chrono::milliseconds(200)));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(200000 * reference, run, 40000);
    }

private:
    static constexpr double kSizeVariance = 0.16;
    static constexpr double kTaskVariance = 0.02;

    static DispatchTarget describe(const std::string &kind)
    {
        DispatchTarget target;
        target.service = ServiceName("service");
        target.labels = { kind };
        target.capacity = { 16000, 1024, 0 };
        return target;
    }

    void addTargets(const std::string &kind, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            m_speeds.emplace_back(m_table->kindOf(describe(kind)));
        }
    }

    /// A run of a step of its own.
    void run(std::size_t target, double slowness)
    {
        std::normal_distribution<double> error(0, std::sqrt(kSizeVariance));
        const MeasuredRun run { &m_speeds[target], std::log(slowness) + error(m_random) };
        SpeedTable::learn({ run }, kSizeVariance, kTaskVariance);
    }

    /// A step whose tasks run on all targets.
    StepSize runStep(const std::vector<double> &logRatios)
    {
        std::vector<MeasuredRun> runs;
        for (std::size_t i = 0; i < logRatios.size(); ++i) {
            runs.push_back({ &m_speeds[i], logRatios[i] });
        }
        return SpeedTable::learn(runs, kSizeVariance, kTaskVariance);
    }

    template <typename Slowness>
    void play(int rounds, Slowness slowness)
    {
        for (int i = 0; i < rounds; ++i) {
            for (std::size_t target = 0; target < m_speeds.size(); ++target) {
                run(target, slowness(target));
            }
            align();
        }
    }

    double align()
    {
        std::vector<TargetSpeed *> speeds;
        for (TargetSpeed &it : m_speeds) {
            speeds.push_back(&it);
        }
        SpeedTable::moveCommonDeviation(speeds);
        const double logSlowness = SpeedTable::meanLogSlowness(speeds);
        m_table->changeReference(logSlowness);
        return logSlowness;
    }

    std::unique_ptr<SpeedTable> m_table;
    std::vector<TargetSpeed> m_speeds;
    RandomSource m_random { 1 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetSpeedTest);

} // namespace Eelgrasscleat
