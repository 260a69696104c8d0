/// @file
/// Expected sizes of tasks by their callers' hints.
#include <eelgrasscleat/Placement/SpeedModel.h>
#include <eelgrasscleat/Support/Random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace Eelgrasscleat
{

class SizeModelTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SizeModelTest);
    CPPUNIT_TEST(hints_exact_taken);
    CPPUNIT_TEST(hints_twiceTooLong_corrected);
    CPPUNIT_TEST(hints_asUncertainAsSizes_pulledHalfwayToTheMean);
    CPPUNIT_TEST(hints_meaningless_meanTaken);
    CPPUNIT_TEST(hintBias_hintsTwiceTooLong_told);
    CPPUNIT_TEST(changeReference_learnedLine_allExpectedRunsShift);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_random.seed(1);
    }

    void hints_exact_taken()
    {
        const SizeModel model = learn(0.4, 0, 1);
        assertExpected(model, 100, 100);
        assertExpected(model, 400, 400);
    }

    void hints_twiceTooLong_corrected()
    {
        const SizeModel model = learn(0.4, 0, 2);
        assertExpected(model, 400, 200);
    }

    void hints_asUncertainAsSizes_pulledHalfwayToTheMean()
    {
        const SizeModel model = learn(0.4, 0.4, 1);
        assertExpected(model, 200, 200);
        assertExpected(model, 800, 400);
        assertExpected(model, 50, 100);
    }

    void hints_meaningless_meanTaken()
    {
        const SizeModel model = learn(0, 1, 1);
        assertExpected(model, 50, 200);
        assertExpected(model, 800, 200);
    }

    void hintBias_hintsTwiceTooLong_told()
    {
        const WeightedMean bias = learn(0.4, 0.4, 2).hintBias();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(-std::log(2), bias.mean, 0.15);
        CPPUNIT_ASSERT(bias.weight > 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, SizeModel().hintBias().weight, 0);
    }

    void changeReference_learnedLine_allExpectedRunsShift()
    {
        SizeModel model = learn(0.4, 0.4, 1);
        const Duration hint = std::chrono::milliseconds(300);
        const double hinted = model.expectedLogRun(hint);
        const double unhinted = model.expectedLogRun({});
        model.changeReference(0.5);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(hinted + 0.5, model.expectedLogRun(hint), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(unhinted + 0.5, model.expectedLogRun({}), 1e-9);
    }

private:
    /// @param sizeSpread standard deviation of the sizes' logarithm, about 200 ms
    /// @param hintSpread standard deviation of the logarithm of hint over size
    /// @param factor of all hints
    SizeModel learn(double sizeSpread, double hintSpread, double factor)
    {
        std::normal_distribution<double> normal;
        SizeModel model;
        for (int i = 0; i < 2000; ++i) {
            const double logSize = std::log(200000) + sizeSpread * normal(m_random);
            const double hint = std::exp(logSize + hintSpread * normal(m_random)) * factor;
            model.addSample(Duration(static_cast<Duration::rep>(hint)), logSize);
        }
        return model;
    }

    /// Asserts the expected run to within a fifth.
    static void assertExpected(const SizeModel &model, int hintMs, double runMs)
    {
        const double run = std::exp(model.expectedLogRun(std::chrono::milliseconds(hintMs))) / 1000;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(runMs, run, runMs / 5);
    }

    RandomSource m_random { 1 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(SizeModelTest);

} // namespace Eelgrasscleat
