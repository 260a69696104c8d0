/// @file
/// A publication's outcome under lost answers, late effects, rivals and outages.
#include "ConfigFixtures.h"

#include <eelgrasscleat/Contract/ChangePublisher.h>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;
using std::chrono::seconds;

class ChangePublisherTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChangePublisherTest);
    CPPUNIT_TEST(publish_logAnswers_accepted);
    CPPUNIT_TEST(publish_rivalFirst_conflictNamesWinner);
    CPPUNIT_TEST(publish_answerLostAfterEffect_acceptedOnceWithoutSecondAppend);
    CPPUNIT_TEST(publish_answerLostAndReadsFail_notAppendedBlindly);
    CPPUNIT_TEST(publish_appendLost_appendedAgain);
    CPPUNIT_TEST(publish_effectTwice_oneVersion);
    CPPUNIT_TEST(publish_appendsAlwaysLost_boundedAndUnknown);
    CPPUNIT_TEST(publish_readsFailAfterAppend_unknown);
    CPPUNIT_TEST(publish_platformAway_unknownNothingSent);
    CPPUNIT_TEST(publish_invalidChange_nothingSent);
    CPPUNIT_TEST(publish_recordsExpired_startsFromSnapshot);
    CPPUNIT_TEST(statusNames_all_distinct);
    CPPUNIT_TEST_SUITE_END();

public:
    void publish_logAnswers_accepted()
    {
        const PublishOutcome outcome = run(makeChange("a", 0, "regina"));
        expect(PublishStatus::Accepted, outcome);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), outcome.version);
        CPPUNIT_ASSERT_EQUAL(1, m_appends);
    }

    void publish_rivalFirst_conflictNamesWinner()
    {
        m_onAppend = [this](const std::string &data) {
            m_log.append(makeRecord(makeChange("rival", 0, "regina")).SerializeAsString());
            m_log.append(data);
            return true;
        };
        const PublishOutcome outcome = run(makeChange("a", 0, "regina"));
        expect(PublishStatus::Conflict, outcome);
        CPPUNIT_ASSERT_EQUAL(std::string("rival"), outcome.winner);
    }

    void publish_answerLostAfterEffect_acceptedOnceWithoutSecondAppend()
    {
        m_onAppend = [this](const std::string &data) {
            m_log.append(data);
            return false;
        };
        expect(PublishStatus::Accepted, run(makeChange("a", 0, "regina")));
        CPPUNIT_ASSERT_EQUAL(1, m_appends);
    }

    void publish_answerLostAndReadsFail_notAppendedBlindly()
    {
        m_onAppend = [this](const std::string &data) {
            m_log.append(data);
            return false;
        };
        int reads = 0;
        m_onRead = [this, &reads] {
            reads += m_appends > 0 ? 1 : 0;
            return m_appends == 0 || reads > 5;
        };
        expect(PublishStatus::Accepted, run(makeChange("a", 0, "regina")));
        CPPUNIT_ASSERT_EQUAL(1, m_appends);
    }

    void publish_appendLost_appendedAgain()
    {
        m_onAppend = [this](const std::string &data) {
            if (m_appends < 3) {
                return false;
            }
            m_log.append(data);
            return true;
        };
        expect(PublishStatus::Accepted, run(makeChange("a", 0, "regina")));
        CPPUNIT_ASSERT_EQUAL(3, m_appends);
    }

    void publish_effectTwice_oneVersion()
    {
        m_onAppend = [this](const std::string &data) {
            m_log.append(data);
            m_log.append(data);
            return true;
        };
        const PublishOutcome outcome = run(makeChange("a", 0, "regina"));
        expect(PublishStatus::Accepted, outcome);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_version);
    }

    void publish_appendsAlwaysLost_boundedAndUnknown()
    {
        m_onAppend = [](const std::string &) { return false; };
        expect(PublishStatus::Unknown, run(makeChange("a", 0, "regina")));
        CPPUNIT_ASSERT_EQUAL(4, m_appends);
    }

    void publish_readsFailAfterAppend_unknown()
    {
        m_onRead = [this] { return m_appends == 0; };
        expect(PublishStatus::Unknown, run(makeChange("a", 0, "regina")));
        CPPUNIT_ASSERT_EQUAL(1, m_appends);
    }

    void publish_platformAway_unknownNothingSent()
    {
        m_onRead = [] { return false; };
        const PublishOutcome outcome = run(makeChange("a", 0, "regina"));
        expect(PublishStatus::Unknown, outcome);
        CPPUNIT_ASSERT_EQUAL(0, m_appends);
        CPPUNIT_ASSERT(outcome.detail.find("nothing was sent") != std::string::npos);
    }

    void publish_invalidChange_nothingSent()
    {
        const PublishOutcome outcome = run(makeChange("a", 0, "regina", 0));
        expect(PublishStatus::Invalid, outcome);
        CPPUNIT_ASSERT(outcome.detail.find("in_flight_limit") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, m_appends);
    }

    void publish_recordsExpired_startsFromSnapshot()
    {
        m_log.append("expired", Instant(seconds(1)));
        schema::ConfigRecord record;
        record.mutable_snapshot()->set_next_offset(1);
        record.mutable_snapshot()->set_version(41);
        m_log.append(record.SerializeAsString(), Instant(seconds(2)));
        m_log.expire(Instant(seconds(2)));
        const PublishOutcome outcome = run(makeChange("a", 41, "regina"));
        expect(PublishStatus::Accepted, outcome);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(42), outcome.version);
    }

    void statusNames_all_distinct()
    {
        CPPUNIT_ASSERT(publishStatusName(PublishStatus::Accepted) == "accepted");
        CPPUNIT_ASSERT(publishStatusName(PublishStatus::Conflict) == "conflict");
        CPPUNIT_ASSERT(publishStatusName(PublishStatus::Invalid) == "invalid");
        CPPUNIT_ASSERT(publishStatusName(PublishStatus::Unknown) == "unknown");
    }

private:
    PublishOutcome run(const schema::ConfigChange &change)
    {
        Instant now { seconds(1000) };
        ChangePublisher publisher(change, {}, now);
        for (int i = 0; i < 400 && !publisher.outcome(); ++i) {
            for (const PublishAction &action : publisher.step(now)) {
                answer(publisher, action, now);
            }
            now += milliseconds(100);
        }
        CPPUNIT_ASSERT(publisher.outcome().has_value());
        m_version = publisher.state().version();
        return *publisher.outcome();
    }

    void answer(ChangePublisher &publisher, const PublishAction &action, Instant now)
    {
        if (const auto *read = std::get_if<PublishRead>(&action)) {
            m_onRead() ? publisher.pageReceived(m_log.page(read->from, 1), now) : publisher.readFailed(now);
            return;
        }
        ++m_appends;
        const bool isAnswered = m_onAppend(std::get<PublishAppend>(action).record.SerializeAsString());
        isAnswered ? publisher.appendSucceeded(now) : publisher.appendFailed(now);
    }

    static void expect(PublishStatus status, const PublishOutcome &outcome)
    {
        CPPUNIT_ASSERT_MESSAGE(std::string(publishStatusName(outcome.status)), status == outcome.status);
    }

    MemoryLog m_log;
    int m_appends = 0;
    std::uint64_t m_version = 0;
    std::function<bool()> m_onRead = [] { return true; };
    std::function<bool(const std::string &)> m_onAppend = [this](const std::string &data) {
        m_log.append(data);
        return true;
    };
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangePublisherTest);

} // namespace Eelgrasscleat
