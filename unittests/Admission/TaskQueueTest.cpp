/// @file
/// The queue: bounds, fairness, urgency without starvation, order within a customer, withdrawal and expiry.
#include <eelgrasscleat/Admission/TaskQueue.h>
#include <eelgrasscleat/Support/Random.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace Eelgrasscleat
{

namespace
{

class FakeEligibility : public CustomerEligibility
{
public:
    bool canStart(const CustomerName &customer) const override
    {
        return !closed.contains(customer);
    }
    std::set<CustomerName> closed;
};

} // namespace

static const CustomerName Engrave("engrave-desk");
static const CustomerName Roster("roster-desk");

class TaskQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TaskQueueTest);
    CPPUNIT_TEST(push_overCapacity_refusesAllTasks);
    CPPUNIT_TEST(push_overCustomerBound_refusesAllTasks);
    CPPUNIT_TEST(push_unknownCustomer_isRefused);
    CPPUNIT_TEST(pop_unequalWeights_sharesByWeight);
    CPPUNIT_TEST(pop_burstOfOneCustomer_alternatesWithOther);
    CPPUNIT_TEST(pop_gateClosedForLong_savesUpNoTurns);
    CPPUNIT_TEST(pop_urgentAndPatient_urgentFirstWithoutStarving);
    CPPUNIT_TEST(pop_patientGateClosed_urgentGoesOn);
    CPPUNIT_TEST(pop_mixedDeadlines_earliestFirstThenArrival);
    CPPUNIT_TEST(requeue_fullQueue_isFirstOfItsCustomer);
    CPPUNIT_TEST(removeSubmission_oneSubmission_leavesOthers);
    CPPUNIT_TEST(expire_someDeadlinesPassed_removesJustThose);
    CPPUNIT_TEST(anyOperations_seededSchedules_countsAgreeWithModel);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_queue.setCustomer(Engrave, 500, 1);
        m_queue.setCustomer(Roster, 500, 1);
    }

    void push_overCapacity_refusesAllTasks()
    {
        TaskQueue small(3);
        small.setCustomer(Engrave, 10, 1);
        CPPUNIT_ASSERT(!small.push(tasks(Engrave, 1, 2)));
        CPPUNIT_ASSERT(small.push(tasks(Engrave, 2, 2)) == QueueRefusal::InstanceFull);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), small.size());
    }

    void push_overCustomerBound_refusesAllTasks()
    {
        m_queue.setCustomer(Engrave, 3, 1);
        CPPUNIT_ASSERT(m_queue.push(tasks(Engrave, 1, 4)) == QueueRefusal::CustomerFull);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_queue.size(Engrave));
        CPPUNIT_ASSERT(!m_queue.push(tasks(Engrave, 2, 3)));
        CPPUNIT_ASSERT(!m_queue.push(tasks(Roster, 3, 4)));
    }

    void push_unknownCustomer_isRefused()
    {
        CPPUNIT_ASSERT(m_queue.push(tasks(CustomerName("nobody"), 1, 1)) == QueueRefusal::CustomerFull);
    }

    void pop_unequalWeights_sharesByWeight()
    {
        m_queue.setCustomer(Roster, 500, 3);
        m_queue.push(tasks(Engrave, 1, 200));
        m_queue.push(tasks(Roster, 2, 200));
        const auto starts = take(100);
        CPPUNIT_ASSERT(starts.at(Roster) >= 74 && starts.at(Roster) <= 76);
    }

    void pop_burstOfOneCustomer_alternatesWithOther()
    {
        m_queue.push(tasks(Engrave, 1, 400));
        take(50);
        m_queue.push(tasks(Roster, 2, 20));
        CPPUNIT_ASSERT_EQUAL(20, take(41).at(Roster));
    }

    void pop_gateClosedForLong_savesUpNoTurns()
    {
        m_queue.push(tasks(Engrave, 1, 400));
        m_queue.push(tasks(Roster, 2, 400));
        m_eligibility.closed = { Roster };
        CPPUNIT_ASSERT_EQUAL(100, take(100).at(Engrave));
        m_eligibility.closed.clear();
        const auto starts = take(20);
        CPPUNIT_ASSERT(starts.at(Roster) <= 11);
    }

    void pop_urgentAndPatient_urgentFirstWithoutStarving()
    {
        m_queue.push(tasks(Roster, 1, 100, QueueUrgency::Patient));
        m_queue.push(tasks(Engrave, 2, 400, QueueUrgency::Urgent));
        const auto starts = take(170);
        CPPUNIT_ASSERT_EQUAL(10, starts.at(Roster));
        CPPUNIT_ASSERT_EQUAL(160, starts.at(Engrave));
    }

    void pop_patientGateClosed_urgentGoesOn()
    {
        m_queue.push(tasks(Roster, 1, 100, QueueUrgency::Patient));
        m_queue.push(tasks(Engrave, 2, 400, QueueUrgency::Urgent));
        m_eligibility.closed = { Roster };
        CPPUNIT_ASSERT_EQUAL(100, take(100).at(Engrave));
    }

    void pop_mixedDeadlines_earliestFirstThenArrival()
    {
        auto batch = tasks(Engrave, 1, 4);
        batch[1].deadline = at(900);
        batch[2].deadline = at(500);
        m_queue.push(batch);
        std::vector<std::uint32_t> order;
        while (const auto task = m_queue.pop(at(0), m_eligibility)) {
            order.push_back(task->task.index);
        }
        CPPUNIT_ASSERT(order == std::vector<std::uint32_t>({ 2, 1, 0, 3 }));
    }

    void requeue_fullQueue_isFirstOfItsCustomer()
    {
        TaskQueue small(2);
        small.setCustomer(Engrave, 2, 1);
        small.push(tasks(Engrave, 1, 2));
        const auto first = small.pop(at(0), m_eligibility);
        auto later = tasks(Engrave, 2, 1);
        later[0].deadline = at(1);
        small.push(later);
        small.requeue(*first);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), small.size());
        CPPUNIT_ASSERT(small.pop(at(0), m_eligibility)->task == first->task);
    }

    void removeSubmission_oneSubmission_leavesOthers()
    {
        m_queue.push(tasks(Engrave, 1, 5));
        m_queue.push(tasks(Engrave, 2, 7));
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), m_queue.removeSubmission(SubmissionId(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), m_queue.removeSubmission(SubmissionId(1)));
        CPPUNIT_ASSERT_EQUAL(7, take(100).at(Engrave));
    }

    void expire_someDeadlinesPassed_removesJustThose()
    {
        auto batch = tasks(Engrave, 1, 4);
        batch[0].deadline = at(10);
        batch[1].deadline = at(20);
        batch[3].deadline = at(11);
        m_queue.push(batch);
        const auto first = m_queue.pop(at(0), m_eligibility);
        m_queue.requeue(*first);
        const auto expired = m_queue.expire(at(11));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), expired.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_queue.size(Engrave));
        CPPUNIT_ASSERT(m_queue.waitingCustomers() == std::vector<CustomerName> { Engrave });
    }

    void anyOperations_seededSchedules_countsAgreeWithModel()
    {
        for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
            runModelSchedule(seed);
        }
    }

private:
    static Instant at(int ms)
    {
        return Instant(std::chrono::milliseconds(ms));
    }

    static std::vector<QueuedTask> tasks(const CustomerName &customer,
                                         std::uint64_t submission,
                                         std::uint32_t n,
                                         QueueUrgency urgency = QueueUrgency::Normal)
    {
        std::vector<QueuedTask> result;
        for (std::uint32_t i = 0; i < n; ++i) {
            result.push_back({ TaskRef { SubmissionId(submission), i }, customer, urgency, at(0), std::nullopt, n });
        }
        return result;
    }

    std::map<CustomerName, int> take(int n)
    {
        std::map<CustomerName, int> starts;
        for (int i = 0; i < n; ++i) {
            if (const auto task = m_queue.pop(at(0), m_eligibility)) {
                ++starts[task->customer];
            }
        }
        return starts;
    }

    /// Random operations against a set of the tasks that must be queued; each task leaves the queue just once.
    void runModelSchedule(std::uint64_t seed)
    {
        RandomSource random(seed);
        TaskQueue queue(60);
        queue.setCustomer(Engrave, 40, 1);
        queue.setCustomer(Roster, 40, 2);
        std::set<TaskRef> model;
        for (std::uint64_t step = 1; step <= 60; ++step) {
            const std::string where = "seed " + std::to_string(seed) + " step " + std::to_string(step);
            switch (drawBelow(random, 4)) {
            case 0: {
                auto batch = tasks(drawBelow(random, 2) == 0 ? Engrave : Roster,
                                   step,
                                   1 + drawBelow(random, 20),
                                   static_cast<QueueUrgency>(drawBelow(random, 3)));
                for (QueuedTask &task : batch) {
                    task.deadline = at(static_cast<int>(step + drawBelow(random, 40)));
                }
                const bool fits = model.size() + batch.size() <= 60;
                const bool isQueued = !queue.push(batch);
                CPPUNIT_ASSERT_MESSAGE(where, fits || !isQueued);
                for (const QueuedTask &task : batch) {
                    if (isQueued) {
                        model.insert(task.task);
                    }
                }
                break;
            }
            case 1:
                if (const auto task = queue.pop(at(static_cast<int>(step)), m_eligibility)) {
                    CPPUNIT_ASSERT_MESSAGE(where, model.erase(task->task) == 1);
                    if (drawBelow(random, 3) == 0) {
                        queue.requeue(*task);
                        model.insert(task->task);
                    }
                }
                break;
            case 2: {
                const std::uint64_t submission = 1 + drawBelow(random, step);
                const std::size_t n = queue.removeSubmission(SubmissionId(submission));
                const auto isOwn = [submission](const TaskRef &task) { return task.submission.value == submission; };
                CPPUNIT_ASSERT_EQUAL_MESSAGE(where, std::erase_if(model, isOwn), n);
                break;
            }
            default:
                for (const QueuedTask &task : queue.expire(at(static_cast<int>(step)))) {
                    CPPUNIT_ASSERT_MESSAGE(where, task.deadline <= at(static_cast<int>(step)));
                    CPPUNIT_ASSERT_MESSAGE(where, model.erase(task.task) == 1);
                }
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, model.size(), queue.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, queue.size(), queue.size(Engrave) + queue.size(Roster));
        }
    }

    TaskQueue m_queue { 1000 };
    FakeEligibility m_eligibility;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TaskQueueTest);

} // namespace Eelgrasscleat
