/// @file
/// Which peers an owner asks to read its list of targets, and when.
#include <eelgrasscleat/Dispatch/TargetListRefresh.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class TargetListRefreshTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TargetListRefreshTest);
    CPPUNIT_TEST(store_returnsList_noPeerAsked);
    CPPUNIT_TEST(store_turnsOwnerAway_peerAskedOnce);
    CPPUNIT_TEST(peer_refuses_nextAskedAtOnce);
    CPPUNIT_TEST(peer_silent_nextAskedAfterTimeout);
    CPPUNIT_TEST(peer_answers_askedAgainAfterInterval);
    CPPUNIT_TEST(peer_answersThenRefuses_nextAsked);
    CPPUNIT_TEST(peers_allRefuse_pauseBeforeNextRound);
    CPPUNIT_TEST(answer_afterTimeout_ignored);
    CPPUNIT_TEST(answer_ofPeerNotAsked_ignored);
    CPPUNIT_TEST(store_returnsListAgain_noPeerAsked);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_refresh = TargetListRefresh();
        m_now = Instant(std::chrono::seconds(1000));
        m_refresh.confirmed(m_now);
    }

    void store_returnsList_noPeerAsked()
    {
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(!ask(kPolicy.maxAge));
            m_refresh.confirmed(m_now);
        }
    }

    void store_turnsOwnerAway_peerAskedOnce()
    {
        CPPUNIT_ASSERT(!m_refresh.isStale(m_now + kPolicy.maxAge));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), askWhenStale());
        CPPUNIT_ASSERT(m_refresh.isStale(m_now));
        CPPUNIT_ASSERT(!ask(kPolicy.answerTimeout / 2));
    }

    void peer_refuses_nextAskedAtOnce()
    {
        m_refresh.refused(InstanceName(askWhenStale()));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), ask(Duration::zero())->value);
    }

    void peer_silent_nextAskedAfterTimeout()
    {
        askWhenStale();
        CPPUNIT_ASSERT_EQUAL(std::string("b"), ask(kPolicy.answerTimeout)->value);
    }

    void peer_answers_askedAgainAfterInterval()
    {
        const InstanceName peer(askWhenStale());
        m_now += std::chrono::milliseconds(50);
        CPPUNIT_ASSERT(m_refresh.answered(peer));
        CPPUNIT_ASSERT_MESSAGE("the list may be as old as the request",
                               m_refresh.age(m_now) == std::chrono::milliseconds(50));
        CPPUNIT_ASSERT(!ask(std::chrono::milliseconds(900)));
        CPPUNIT_ASSERT_EQUAL_MESSAGE("it reaches the store", peer.value, ask(std::chrono::milliseconds(100))->value);
    }

    void peer_answersThenRefuses_nextAsked()
    {
        m_refresh.answered(InstanceName(askWhenStale()));
        m_refresh.refused(*ask(kPolicy.refreshInterval + kTick));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), ask(Duration::zero())->value);
    }

    void peers_allRefuse_pauseBeforeNextRound()
    {
        InstanceName peer(askWhenStale());
        for (const char *it : { "b", "c" }) {
            m_refresh.refused(peer);
            peer = *ask(Duration::zero());
            CPPUNIT_ASSERT_EQUAL(std::string(it), peer.value);
        }
        m_refresh.refused(peer);
        CPPUNIT_ASSERT(!ask(Duration::zero()));
        CPPUNIT_ASSERT(!ask(kPolicy.refreshInterval - kTick));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), ask(kTick)->value);
    }

    void answer_afterTimeout_ignored()
    {
        const InstanceName peer(askWhenStale());
        ask(kPolicy.answerTimeout);
        CPPUNIT_ASSERT(!m_refresh.answered(peer));
        CPPUNIT_ASSERT(m_refresh.isStale(m_now));
    }

    void answer_ofPeerNotAsked_ignored()
    {
        CPPUNIT_ASSERT(!m_refresh.answered(InstanceName("a")));
        askWhenStale();
        CPPUNIT_ASSERT(!m_refresh.answered(InstanceName("c")));
    }

    void store_returnsListAgain_noPeerAsked()
    {
        const InstanceName peer(askWhenStale());
        m_refresh.confirmed(m_now);
        CPPUNIT_ASSERT(!m_refresh.answered(peer));
        CPPUNIT_ASSERT(!ask(kPolicy.maxAge));
    }

private:
    static constexpr TargetListPolicy kPolicy {};
    static constexpr Duration kTick = std::chrono::milliseconds(1);

    std::optional<InstanceName> ask(Duration delay)
    {
        m_now += delay;
        return m_refresh.advance({ InstanceName("a"), InstanceName("b"), InstanceName("c") }, m_now);
    }

    std::string askWhenStale()
    {
        const auto peer = ask(kPolicy.maxAge + kTick);
        CPPUNIT_ASSERT(peer);
        return peer->value;
    }

    TargetListRefresh m_refresh;
    Instant m_now {};
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetListRefreshTest);

} // namespace Eelgrasscleat
