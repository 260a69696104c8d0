/// @file
/// Forecast of starts on targets with runs of known ends.
#include <eelgrasscleat/Dispatch/StartForecast.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class StartForecastTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StartForecastTest);
    CPPUNIT_TEST(book_freeCapacity_startsNow);
    CPPUNIT_TEST(book_fullTarget_startsAtRelease);
    CPPUNIT_TEST(book_fasterTargetBusy_takesTheOneThatEndsFirst);
    CPPUNIT_TEST(book_tasksOfGroup_lastOneTells);
    CPPUNIT_TEST(book_tooLarge_nothing);
    CPPUNIT_TEST(undo_latestGroup_givesCapacityBack);
    CPPUNIT_TEST(addTarget_overdueRelease_countsAsNow);
    CPPUNIT_TEST_SUITE_END();

public:
    void book_freeCapacity_startsNow()
    {
        m_forecast.addTarget(16000, 1, {});
        const auto booking = m_forecast.book({ 2, 8000, kRun });
        CPPUNIT_ASSERT(booking && booking->start == kNow && booking->end == kNow + kRun);
    }

    void book_fullTarget_startsAtRelease()
    {
        m_forecast.addTarget(2000, 1, { { after(50), 4000 }, { after(20), 4000 } });
        const auto booking = m_forecast.book({ 1, 8000, kRun });
        CPPUNIT_ASSERT(booking && booking->start == after(50));
    }

    void book_fasterTargetBusy_takesTheOneThatEndsFirst()
    {
        m_forecast.addTarget(8000, 2, {});
        m_forecast.addTarget(0, 0.5, { { after(30), 8000 } });
        const auto booking = m_forecast.book({ 1, 8000, kRun });
        CPPUNIT_ASSERT(booking && booking->start == after(30) && booking->end == after(80));
    }

    void book_tasksOfGroup_lastOneTells()
    {
        m_forecast.addTarget(8000, 1, {});
        const auto booking = m_forecast.book({ 3, 8000, kRun });
        CPPUNIT_ASSERT(booking && booking->start == after(200) && booking->end == after(300));
    }

    void book_tooLarge_nothing()
    {
        m_forecast.addTarget(8000, 1, { { after(10), 4000 } });
        CPPUNIT_ASSERT(!m_forecast.book({ 1, 16000, kRun }));
        const auto booking = m_forecast.book({ 1, 8000, kRun });
        CPPUNIT_ASSERT(booking && booking->start == kNow);
    }

    void undo_latestGroup_givesCapacityBack()
    {
        m_forecast.addTarget(8000, 1, {});
        CPPUNIT_ASSERT(m_forecast.book({ 2, 8000, kRun }));
        m_forecast.undo();
        const auto booking = m_forecast.book({ 1, 8000, kRun });
        CPPUNIT_ASSERT(booking && booking->start == kNow);
    }

    void addTarget_overdueRelease_countsAsNow()
    {
        m_forecast.addTarget(0, 1, { { kNow - kRun, 8000 } });
        const auto booking = m_forecast.book({ 1, 8000, kRun });
        CPPUNIT_ASSERT(booking && booking->start == kNow);
    }

private:
    static constexpr Instant kNow { std::chrono::seconds(1000) };
    static constexpr Duration kRun = std::chrono::milliseconds(100);

    static Instant after(int ms)
    {
        return kNow + std::chrono::milliseconds(ms);
    }

    StartForecast m_forecast { kNow };
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartForecastTest);

} // namespace Eelgrasscleat
