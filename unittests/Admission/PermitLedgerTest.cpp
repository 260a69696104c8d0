/// @file
/// Two permit ledgers, message by message: what a loan is worth on either side at each moment.
#include <eelgrasscleat/Admission/PermitLedger.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

using std::chrono::milliseconds;

static const ResourceName Desk("engrave-desk");
static const ResourceName SlowDesk("slow-desk");
static constexpr Duration Run = milliseconds(500);
static constexpr Duration SlowRun = milliseconds(3000);
static constexpr LoanTiming Timing { .duration = milliseconds(1000),
                                     .startMargin = milliseconds(20),
                                     .clockDriftMargin = milliseconds(50) };
/// When the lender of a loan granted at 0 takes it back.
static constexpr int ReclaimMs = 1000 + 50 + 500;

class PermitLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PermitLedgerTest);
    CPPUNIT_TEST(tryAcquire_baseShareUsedUp_isRefused);
    CPPUNIT_TEST(tryAcquire_baseShareNotUsable_isRefused);
    CPPUNIT_TEST(tryAcquire_baseShare_mustStartWithinALoan);
    CPPUNIT_TEST(tryAcquire_nearLoansEnd_isRefused);
    CPPUNIT_TEST(tick_workWaiting_borrowsSpare);
    CPPUNIT_TEST(tick_peerRefuses_asksSeldom);
    CPPUNIT_TEST(tick_needFallsInPart_returnsPartThoughReturnIsLost);
    CPPUNIT_TEST(tick_idleLoan_isReturned);
    CPPUNIT_TEST(tick_twoBorrowers_shareAlternates);
    CPPUNIT_TEST(grant_late_countsFromRequest);
    CPPUNIT_TEST(grant_afterItsEnd_isGivenBack);
    CPPUNIT_TEST(grant_twice_countsOnce);
    CPPUNIT_TEST(request_twice_lendsOnce);
    CPPUNIT_TEST(request_baseShareNotUsable_lendsNothing);
    CPPUNIT_TEST(request_ofOtherIncarnation_isIgnored);
    CPPUNIT_TEST(reclaim_noReturn_waitsForLongestRunAndMargin);
    CPPUNIT_TEST(reclaim_longestRunRaised_waitsForNewRun);
    CPPUNIT_TEST(renew_baseShareNotUsable_isRefused);
    CPPUNIT_TEST(renew_afterEnd_isRefused);
    CPPUNIT_TEST(renew_answered_prolongsBothSides);
    CPPUNIT_TEST(return_twice_countsOnce);
    CPPUNIT_TEST(setLimit_lowered_runsOut);
    CPPUNIT_TEST(removeLimit_permitsOut_canBeGivenBack);
    CPPUNIT_TEST(releaseAfterMaxRunTime_runNotOver_keepsPermit);
    CPPUNIT_TEST(renew_severalLoans_oneMessageRefusesJustThoseGone);
    CPPUNIT_TEST(stop_loansHeld_returnsUnusedThenRest);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        for (PermitLedger *ledger : { &m_a, &m_b }) {
            ledger->setLimit(Desk, 20, Run, at(0));
            ledger->setBaseShareUsable(true, at(0));
        }
        m_a.setPeers({ B });
        m_b.setPeers({ A });
    }

    void tryAcquire_baseShareUsedUp_isRefused()
    {
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT(m_a.tryAcquire(Desk, at(0)));
        }
        CPPUNIT_ASSERT(!m_a.tryAcquire(Desk, at(0)));
    }

    void tryAcquire_baseShareNotUsable_isRefused()
    {
        m_a.setBaseShareUsable(false, at(0));
        CPPUNIT_ASSERT(!m_a.tryAcquire(Desk, at(0)));
        CPPUNIT_ASSERT_EQUAL(0U, m_a.free(Desk, at(0)));
    }

    void tryAcquire_baseShare_mustStartWithinALoan()
    {
        // A successor waits for the loans of this incarnation; a start held up for longer would be one too many.
        CPPUNIT_ASSERT(m_a.tryAcquire(Desk, at(0))->startBefore <= at(1000 - 20));
    }

    void tryAcquire_nearLoansEnd_isRefused()
    {
        borrow();
        m_a.setBaseShareUsable(false, at(0));
        CPPUNIT_ASSERT(m_a.tryAcquire(Desk, at(979)));
        CPPUNIT_ASSERT(!m_a.tryAcquire(Desk, at(980)));
    }

    void tick_workWaiting_borrowsSpare()
    {
        borrow();
        CPPUNIT_ASSERT_EQUAL(10U, m_a.borrowed(Desk, at(0)));
        CPPUNIT_ASSERT_EQUAL(10U, m_b.lent(Desk));
        CPPUNIT_ASSERT_EQUAL(20U, m_a.free(Desk, at(0)));
        CPPUNIT_ASSERT_EQUAL(0U, m_b.free(Desk, at(0)));
    }

    void tick_peerRefuses_asksSeldom()
    {
        m_b.setBaseShareUsable(false, at(0));
        m_a.setWaiting(Desk, 20);
        std::size_t asked = 0;
        for (int ms = 0; ms < 10000; ms += 10) {
            const auto requests = tick(m_a, ms);
            asked += requests.size();
            deliver(m_a, B, deliver(m_b, A, requests, ms), ms);
        }
        // After the first pauses of 25, 50, 100 and 200 ms one request comes every 250 ms.
        CPPUNIT_ASSERT(asked <= 4 + 10000 / 250 + 1);
        CPPUNIT_ASSERT(asked >= 10000 / 500);
    }

    void tick_needFallsInPart_returnsPartThoughReturnIsLost()
    {
        borrow();
        for (int i = 0; i < 11; ++i) {
            CPPUNIT_ASSERT(m_a.tryAcquire(Desk, at(0)));
        }
        m_a.setWaiting(Desk, 0);
        int lost = 0;
        for (int ms = 10; ms < 5000; ms += 10) {
            auto messages = tick(m_a, ms);
            for (const LedgerMessage &message : messages) {
                lost += message.message.has_loan_renew() && message.message.loan_renew().kept_size() > 0 ? 1 : 0;
            }
            if (lost != 1) {
                deliver(m_a, B, deliver(m_b, A, messages, ms), ms);
            }
            tick(m_b, ms);
        }
        CPPUNIT_ASSERT(lost > 1);
        CPPUNIT_ASSERT_EQUAL(1U, m_a.borrowed(Desk, at(5000)));
        CPPUNIT_ASSERT_EQUAL(1U, m_b.lent(Desk));
    }

    void tick_idleLoan_isReturned()
    {
        borrow();
        m_a.setWaiting(Desk, 0);
        for (int ms = 10; ms <= 600; ms += 10) {
            deliver(m_b, A, tick(m_a, ms), ms);
        }
        CPPUNIT_ASSERT_EQUAL(0U, m_b.lent(Desk));
        CPPUNIT_ASSERT_EQUAL(0U, m_a.borrowed(Desk, at(600)));
    }

    void tick_twoBorrowers_shareAlternates()
    {
        // One permit in all, at the lender; two others want it all the time.
        const ResourceName single = resourceOf(B.name);
        PermitLedger lender(B, layout(), Timing);
        PermitLedger other(C, layout(), Timing);
        for (PermitLedger *ledger : { &m_a, &other, &lender }) {
            ledger->setLimit(single, 1, Run, at(0));
            ledger->setBaseShareUsable(true, at(0));
            ledger->setPeers({ B });
        }
        m_a.setWaiting(single, 1);
        other.setWaiting(single, 1);
        int heldByA = 0;
        int heldByOther = 0;
        for (int ms = 0; ms < 20000; ms += 10) {
            deliver(m_a, B, deliver(lender, A, tick(m_a, ms), ms), ms);
            deliver(other, B, deliver(lender, C, tick(other, ms), ms), ms);
            tick(lender, ms);
            const bool isHeldByA = m_a.free(single, at(ms)) > 0;
            const bool isHeldByOther = other.free(single, at(ms)) > 0;
            CPPUNIT_ASSERT(!isHeldByA || !isHeldByOther);
            heldByA += isHeldByA ? 1 : 0;
            heldByOther += isHeldByOther ? 1 : 0;
        }
        CPPUNIT_ASSERT(heldByA > 2000 / 4);
        CPPUNIT_ASSERT(heldByOther > 2000 / 4);
    }

    void grant_late_countsFromRequest()
    {
        m_a.setWaiting(Desk, 20);
        const auto grants = deliver(m_b, A, tick(m_a, 0), 100);
        deliver(m_a, B, grants, 900);
        CPPUNIT_ASSERT_EQUAL(10U, m_a.borrowed(Desk, at(999)));
        CPPUNIT_ASSERT_EQUAL(0U, m_a.borrowed(Desk, at(1000)));
    }

    void grant_afterItsEnd_isGivenBack()
    {
        m_a.setWaiting(Desk, 20);
        const auto grants = deliver(m_b, A, tick(m_a, 0), 100);
        const auto returns = deliver(m_a, B, grants, 1000);
        CPPUNIT_ASSERT_EQUAL(0U, m_a.borrowed(Desk, at(1000)));
        deliver(m_b, A, returns, 1010);
        CPPUNIT_ASSERT_EQUAL(0U, m_b.lent(Desk));
    }

    void grant_twice_countsOnce()
    {
        m_a.setWaiting(Desk, 20);
        const auto grants = deliver(m_b, A, tick(m_a, 0), 0);
        deliver(m_a, B, grants, 0);
        CPPUNIT_ASSERT(deliver(m_a, B, grants, 1).empty());
        CPPUNIT_ASSERT_EQUAL(10U, m_a.borrowed(Desk, at(1)));
    }

    void request_twice_lendsOnce()
    {
        m_a.setWaiting(Desk, 5);
        CPPUNIT_ASSERT(m_a.tryAcquire(Desk, at(0)));
        m_a.setWaiting(Desk, 12);
        const auto requests = tick(m_a, 0);
        deliver(m_b, A, requests, 0);
        const std::uint32_t lent = m_b.lent(Desk);
        CPPUNIT_ASSERT(lent > 0 && lent < 10);
        deliver(m_b, A, requests, 5);
        CPPUNIT_ASSERT_EQUAL(lent, m_b.lent(Desk));
    }

    void request_baseShareNotUsable_lendsNothing()
    {
        m_b.setBaseShareUsable(false, at(0));
        borrow();
        CPPUNIT_ASSERT_EQUAL(0U, m_b.lent(Desk));
        CPPUNIT_ASSERT_EQUAL(0U, m_a.borrowed(Desk, at(0)));
    }

    void request_ofOtherIncarnation_isIgnored()
    {
        m_a.setPeers({ { B.name, IncarnationId(99) } });
        borrow();
        CPPUNIT_ASSERT_EQUAL(0U, m_b.lent(Desk));
    }

    void reclaim_noReturn_waitsForLongestRunAndMargin()
    {
        borrow();
        tick(m_b, ReclaimMs - 1);
        CPPUNIT_ASSERT_EQUAL(10U, m_b.lent(Desk));
        tick(m_b, ReclaimMs);
        CPPUNIT_ASSERT_EQUAL(0U, m_b.lent(Desk));
        CPPUNIT_ASSERT_EQUAL(10U, m_b.free(Desk, at(ReclaimMs)));
    }

    void reclaim_longestRunRaised_waitsForNewRun()
    {
        borrow();
        m_b.setLimit(Desk, 20, SlowRun, at(100));
        m_b.setLimit(Desk, 20, Run, at(200)); // The borrower may have started work in between.
        tick(m_b, ReclaimMs + 2499);
        CPPUNIT_ASSERT_EQUAL(10U, m_b.lent(Desk));
        tick(m_b, ReclaimMs + 2500);
        CPPUNIT_ASSERT_EQUAL(0U, m_b.lent(Desk));
    }

    void renew_baseShareNotUsable_isRefused()
    {
        borrow();
        m_b.setBaseShareUsable(false, at(400));
        deliver(m_a, B, deliver(m_b, A, tick(m_a, 500), 500), 500);
        CPPUNIT_ASSERT_EQUAL(10U, m_a.borrowed(Desk, at(999)));
        CPPUNIT_ASSERT_EQUAL(0U, m_a.borrowed(Desk, at(1000)));
    }

    void renew_afterEnd_isRefused()
    {
        // Two resources of unequal runs: after the end one part is back at the lender while the other is still out.
        for (PermitLedger *ledger : { &m_a, &m_b }) {
            ledger->setLimit(SlowDesk, 20, SlowRun, at(0));
        }
        m_a.setWaiting(SlowDesk, 20);
        borrow();
        const auto renewals = tick(m_a, 500);
        tick(m_b, ReclaimMs);
        deliver(m_a, B, deliver(m_b, A, renewals, ReclaimMs), ReclaimMs);
        tick(m_b, 1050 + 2999);
        CPPUNIT_ASSERT_EQUAL(10U, m_b.lent(SlowDesk));
        tick(m_b, 1050 + 3000);
        CPPUNIT_ASSERT_EQUAL(0U, m_b.lent(SlowDesk));
    }

    void renew_answered_prolongsBothSides()
    {
        borrow();
        deliver(m_a, B, deliver(m_b, A, tick(m_a, 500), 510), 520);
        CPPUNIT_ASSERT_EQUAL(10U, m_a.borrowed(Desk, at(1499)));
        CPPUNIT_ASSERT_EQUAL(0U, m_a.borrowed(Desk, at(1500)));
        tick(m_b, ReclaimMs + 509);
        CPPUNIT_ASSERT_EQUAL(10U, m_b.lent(Desk));
        tick(m_b, ReclaimMs + 510);
        CPPUNIT_ASSERT_EQUAL(0U, m_b.lent(Desk));
    }

    void return_twice_countsOnce()
    {
        borrow();
        std::vector<LedgerMessage> returns;
        m_a.stop(at(10), returns);
        deliver(m_b, A, returns, 10);
        CPPUNIT_ASSERT_EQUAL(10U, m_b.free(Desk, at(10)));
        deliver(m_b, A, returns, 20);
        CPPUNIT_ASSERT_EQUAL(10U, m_b.free(Desk, at(20)));
    }

    void setLimit_lowered_runsOut()
    {
        std::vector<Permit> permits;
        for (int i = 0; i < 8; ++i) {
            permits.push_back(*m_a.tryAcquire(Desk, at(0)));
        }
        m_a.setLimit(Desk, 10, Run, at(1));
        for (int i = 0; i < 3; ++i) {
            m_a.release(permits[i], at(2));
        }
        CPPUNIT_ASSERT(!m_a.tryAcquire(Desk, at(3)));
        m_a.release(permits[3], at(4));
        CPPUNIT_ASSERT(m_a.tryAcquire(Desk, at(5)));
    }

    void removeLimit_permitsOut_canBeGivenBack()
    {
        borrow();
        const Permit base = *m_a.tryAcquire(Desk, at(0));
        m_a.removeLimit(Desk);
        m_b.removeLimit(Desk);
        deliver(m_b, A, tick(m_a, 10), 10);
        CPPUNIT_ASSERT(!m_a.tryAcquire(Desk, at(10)));
        m_a.release(base, at(20));
        for (int ms = 20; ms < 5000; ms += 100) {
            deliver(m_a, B, deliver(m_b, A, tick(m_a, ms), ms), ms);
            tick(m_b, ms);
        }
        CPPUNIT_ASSERT_EQUAL(0U, m_b.lent(Desk));
    }

    void releaseAfterMaxRunTime_runNotOver_keepsPermit()
    {
        const Permit permit = *m_a.tryAcquire(Desk, at(0));
        m_a.releaseAfterMaxRunTime(permit, at(100), at(200));
        tick(m_a, 599);
        CPPUNIT_ASSERT_EQUAL(1U, m_a.inUse(Desk));
        tick(m_a, 600);
        CPPUNIT_ASSERT_EQUAL(0U, m_a.inUse(Desk));
    }

    void renew_severalLoans_oneMessageRefusesJustThoseGone()
    {
        for (PermitLedger *ledger : { &m_a, &m_b }) {
            ledger->setLimit(SlowDesk, 20, SlowRun, at(0));
        }
        borrow();
        m_a.setWaiting(SlowDesk, 20);
        deliver(m_a, B, deliver(m_b, A, tick(m_a, 100), 100), 100);
        auto renewals = tick(m_a, 500);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), renewals.size());
        // The lender knows nothing of the first loan.
        schema::LoanRenew &renew = *renewals[0].message.mutable_loan_renew();
        CPPUNIT_ASSERT_EQUAL(1, renew.more_loan_ids_size());
        schema::PeerMessage gone = renewals[0].message;
        gone.mutable_loan_return()->set_loan_id(renew.loan_id());
        deliver(m_b, A, { { B, gone } }, 500);
        deliver(m_a, B, deliver(m_b, A, renewals, 500), 500);
        CPPUNIT_ASSERT_EQUAL(0U, m_a.borrowed(Desk, at(1000)));
        CPPUNIT_ASSERT_EQUAL(10U, m_a.borrowed(SlowDesk, at(1499)));
    }

    void stop_loansHeld_returnsUnusedThenRest()
    {
        borrow();
        std::vector<Permit> permits;
        for (int i = 0; i < 12; ++i) {
            permits.push_back(*m_a.tryAcquire(Desk, at(0)));
        }
        std::vector<LedgerMessage> messages;
        m_a.stop(at(10), messages);
        deliver(m_b, A, messages, 10);
        CPPUNIT_ASSERT_EQUAL(2U, m_b.lent(Desk));
        CPPUNIT_ASSERT(!m_a.tryAcquire(Desk, at(20)));
        for (const Permit &permit : permits) {
            m_a.release(permit, at(30));
        }
        deliver(m_b, A, tick(m_a, 40), 40);
        CPPUNIT_ASSERT_EQUAL(0U, m_b.lent(Desk));
    }

private:
    using Messages = std::vector<LedgerMessage>;

    static inline const PeerId A { InstanceName("entry-0"), IncarnationId(11) };
    static inline const PeerId B { InstanceName("entry-1"), IncarnationId(12) };
    static inline const PeerId C { InstanceName("entry-2"), IncarnationId(13) };

    static Instant at(int ms)
    {
        return Instant(milliseconds(ms));
    }

    static ShareLayout layout()
    {
        return ShareLayout({ { A.name, ZoneName("regina") }, { B.name, ZoneName("brandon") } });
    }

    /// @returns a resource whose only permit is @p owner's.
    static ResourceName resourceOf(const InstanceName &owner)
    {
        ResourceName name("single");
        while (layout().baseShare(name, 1, owner) == 0) {
            name.value += "-";
        }
        return name;
    }

    static Messages tick(PermitLedger &ledger, int ms)
    {
        Messages out;
        ledger.tick(at(ms), out);
        return out;
    }

    static Messages deliver(PermitLedger &to, const PeerId &from, const Messages &messages, int ms)
    {
        Messages out;
        for (const LedgerMessage &message : messages) {
            to.receive(from, message.message, at(ms), out);
        }
        return out;
    }

    /// A borrows at 0 all that B can spare.
    void borrow()
    {
        m_a.setWaiting(Desk, 20);
        deliver(m_a, B, deliver(m_b, A, tick(m_a, 0), 0), 0);
    }

    PermitLedger m_a { A, layout(), Timing };
    PermitLedger m_b { B, layout(), Timing };
};

CPPUNIT_TEST_SUITE_REGISTRATION(PermitLedgerTest);

} // namespace Eelgrasscleat
