/// @file
/// Window and timeouts by measured response times.
#include <eelgrasscleat/Dispatch/CommandPacer.h>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

namespace Eelgrasscleat
{

class CommandPacerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CommandPacerTest);
    CPPUNIT_TEST(window_beforeFirstResponse_small);
    CPPUNIT_TEST(window_shortResponses_neverLimits);
    CPPUNIT_TEST(window_longResponses_shrinksToMinimum);
    CPPUNIT_TEST(window_responsesShortAgain_grows);
    CPPUNIT_TEST(window_fewUnanswered_unchanged);
    CPPUNIT_TEST(window_mostUnanswered_shrinks);
    CPPUNIT_TEST(timeout_shortResponses_isMinimum);
    CPPUNIT_TEST(timeout_longResponses_follows);
    CPPUNIT_TEST(timeout_mostUnanswered_grows);
    CPPUNIT_TEST(rate_limited_isWindowPerResponseTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void window_beforeFirstResponse_small()
    {
        // A new owner doesn't know its link: a full window would fill it with commands that time out together.
        for (int i = 0; i < 8; ++i) {
            CPPUNIT_ASSERT(m_pacer.mayStart());
            m_pacer.startSent();
        }
        CPPUNIT_ASSERT(!m_pacer.mayStart());
    }

    void window_shortResponses_neverLimits()
    {
        answer(500, std::chrono::milliseconds(5));
        for (int i = 0; i < 400; ++i) {
            CPPUNIT_ASSERT(m_pacer.mayStart());
            m_pacer.startSent();
        }
        answer(400, std::chrono::milliseconds(5));
        CPPUNIT_ASSERT(std::isinf(m_pacer.startsPerSecond()));
    }

    void window_longResponses_shrinksToMinimum()
    {
        answer(50, std::chrono::milliseconds(5));
        for (int i = 0; i < 40; ++i) {
            m_pacer.startSent();
        }
        answer(50, std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(!m_pacer.mayStart());
        CPPUNIT_ASSERT(m_pacer.window() >= CommandPacerPolicy().minWindow);
        CPPUNIT_ASSERT(m_pacer.window() < 6);
        for (int i = 0; i < 38; ++i) {
            m_pacer.startEnded();
        }
        CPPUNIT_ASSERT(m_pacer.mayStart());
    }

    void window_responsesShortAgain_grows()
    {
        answer(50, std::chrono::milliseconds(200));
        const double before = m_pacer.window();
        answer(100, std::chrono::milliseconds(5));
        CPPUNIT_ASSERT(m_pacer.window() > 2 * before);
    }

    void window_fewUnanswered_unchanged()
    {
        // Responses lost at random are not a sign of a full link.
        for (int i = 0; i < 100; ++i) {
            answer(9, std::chrono::milliseconds(5));
            m_pacer.unanswered(m_now);
        }
        CPPUNIT_ASSERT(std::isinf(m_pacer.startsPerSecond()));
        CPPUNIT_ASSERT_EQUAL(CommandPacerPolicy().minTimeout, Duration(m_pacer.responseTimeout()));
    }

    void window_mostUnanswered_shrinks()
    {
        for (int i = 0; i < 40; ++i) {
            m_pacer.startSent();
        }
        loseMost();
        CPPUNIT_ASSERT(!m_pacer.mayStart());
    }

    void timeout_shortResponses_isMinimum()
    {
        answer(20, std::chrono::milliseconds(2));
        CPPUNIT_ASSERT_EQUAL(CommandPacerPolicy().minRetryDelay, m_pacer.retryDelay());
        CPPUNIT_ASSERT_EQUAL(CommandPacerPolicy().minTimeout, Duration(m_pacer.responseTimeout()));
    }

    void timeout_longResponses_follows()
    {
        answer(50, std::chrono::milliseconds(120));
        CPPUNIT_ASSERT(m_pacer.retryDelay() >= std::chrono::milliseconds(110));
        CPPUNIT_ASSERT(m_pacer.responseTimeout() >= std::chrono::milliseconds(200));
        answer(50, std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(CommandPacerPolicy().maxTimeout, Duration(m_pacer.responseTimeout()));
    }

    void timeout_mostUnanswered_grows()
    {
        loseMost();
        CPPUNIT_ASSERT(m_pacer.responseTimeout() > std::chrono::milliseconds(300));
    }

    void rate_limited_isWindowPerResponseTime()
    {
        answer(100, std::chrono::milliseconds(100));
        const double expected = m_pacer.window() / 0.1;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, m_pacer.startsPerSecond(), expected * 0.05);
    }

private:
    void answer(int n, Duration responseTime)
    {
        for (int i = 0; i < n; ++i) {
            m_now += std::chrono::milliseconds(20);
            m_pacer.answered(responseTime, m_now);
        }
    }

    void loseMost()
    {
        for (int i = 0; i < 60; ++i) {
            m_now += std::chrono::milliseconds(50);
            m_pacer.unanswered(m_now);
        }
    }

    Instant m_now { std::chrono::seconds(1000) };
    CommandPacer m_pacer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CommandPacerTest);

} // namespace Eelgrasscleat
