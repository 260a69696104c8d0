/// @file
/// The platform's log: offsets, pages, retention, the cap on appends.
#include "../../lib/StandIn/RecordStore.h"
#include "../../lib/StandIn/LaggingList.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

static Instant at(std::int64_t ms)
{
    return Instant(std::chrono::milliseconds(ms));
}

class RecordStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RecordStoreTest);
    CPPUNIT_TEST(append_twoStreams_offsetsAreSeparate);
    CPPUNIT_TEST(read_fromMiddle_returnsThoseAfter);
    CPPUNIT_TEST(read_recordLargerThanPage_returnsItAlone);
    CPPUNIT_TEST(expire_afterRetention_keepsOffsets);
    CPPUNIT_TEST(expireBelow_someOffset_movesFirstKept);
    CPPUNIT_TEST(expireBelow_beyondEnd_nextOffsetStays);
    CPPUNIT_TEST(cap_anyWindowOfOneSecond_holdsLimit);
    CPPUNIT_TEST(list_change_showsAfterLag);
    CPPUNIT_TEST(list_frozen_showsChangesAfterwards);
    CPPUNIT_TEST_SUITE_END();

public:
    void append_twoStreams_offsetsAreSeparate()
    {
        RecordStore store(Duration(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), store.append("a", "x", at(0)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), store.append("a", "y", at(0)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), store.append("b", "z", at(0)));
    }

    void read_fromMiddle_returnsThoseAfter()
    {
        RecordStore store(Duration(0));
        for (const char *it : { "a", "b", "c", "d" }) {
            store.append("s", it, at(0));
        }
        const auto page = store.read("s", 1, 2);
        CPPUNIT_ASSERT_EQUAL(2, page.records_size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), page.records(0).offset());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), page.records(1).data());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), page.next());
    }

    void read_recordLargerThanPage_returnsItAlone()
    {
        RecordStore store(Duration(0));
        store.append("s", std::string(3 * 1024 * 1024, 'x'), at(0));
        store.append("s", "y", at(0));
        CPPUNIT_ASSERT_EQUAL(1, store.read("s", 0, 10).records_size());
        CPPUNIT_ASSERT_EQUAL(1, store.read("s", 1, 10).records_size());
    }

    void expire_afterRetention_keepsOffsets()
    {
        RecordStore store(std::chrono::milliseconds(100));
        store.append("s", "old", at(0));
        store.append("s", "new", at(60));
        store.expire(at(100));
        const auto page = store.read("s", 0, 10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), page.first_kept());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), page.records(0).data());
        store.expire(at(1000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), store.append("s", "newer", at(1000)));
    }

    void expireBelow_someOffset_movesFirstKept()
    {
        RecordStore store(Duration(0));
        store.append("s", "a", at(0));
        store.append("s", "b", at(0));
        store.expireBelow("s", 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), store.read("s", 0, 10).first_kept());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), store.size());
    }

    void expireBelow_beyondEnd_nextOffsetStays()
    {
        RecordStore store(Duration(0));
        store.append("s", "a", at(0));
        store.expireBelow("s", 100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), store.read("s", 0, 10).next());
    }

    void cap_anyWindowOfOneSecond_holdsLimit()
    {
        AppendCap cap(3);
        int taken = 0;
        for (std::int64_t ms = 0; ms < 1000; ms += 10) {
            taken += cap.take(at(ms)) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(3, taken);
        CPPUNIT_ASSERT(cap.take(at(1000)));
        CPPUNIT_ASSERT(!cap.take(at(1005)));
    }

    void list_change_showsAfterLag()
    {
        LaggingList list(std::chrono::milliseconds(50));
        list.change("a", schema::LISTED_STATE_LIVE, at(0));
        CPPUNIT_ASSERT_EQUAL(0, list.show(at(49)).instances_size());
        CPPUNIT_ASSERT_EQUAL(1, list.show(at(50)).instances_size());
        list.change("a", schema::LISTED_STATE_UNSPECIFIED, at(60));
        CPPUNIT_ASSERT_EQUAL(1, list.show(at(109)).instances_size());
        CPPUNIT_ASSERT_EQUAL(0, list.show(at(110)).instances_size());
    }

    void list_frozen_showsChangesAfterwards()
    {
        LaggingList list(Duration(0));
        list.setFrozen(true);
        list.change("a", schema::LISTED_STATE_LEAVING, at(0));
        CPPUNIT_ASSERT_EQUAL(0, list.show(at(1000)).instances_size());
        list.setFrozen(false);
        CPPUNIT_ASSERT_EQUAL(schema::LISTED_STATE_LEAVING, list.show(at(1000)).instances(0).state());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RecordStoreTest);

} // namespace Eelgrasscleat
