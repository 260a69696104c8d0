/// @file
/// Publishing against a log that loses answers, takes appends late, is down, or was changed by a rival.
#include "../../lib/Operator/LogDialog.h"

#include <QCoreApplication>
#include <QTimer>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

/// A log in memory that answers through the event loop.
class MemoryLog : public LogService
{
public:
    void append(LogStream, const std::string &record, std::function<void(Result<std::uint64_t>)> done) override
    {
        if (down || appendsDown) {
            answer(done, failure(Step::AppendRecord));
            return;
        }
        if (!rival.empty()) {
            m_records.push_back(std::exchange(rival, ""));
        }
        m_records.push_back(record);
        if (std::exchange(loseAnswer, false)) {
            answer(done, failure(Step::AppendRecord));
            return;
        }
        answer(done, static_cast<std::uint64_t>(m_records.size() - 1));
    }

    void read(LogStream, std::uint64_t from, std::function<void(Result<schema::RecordPage>)> done) override
    {
        if (down) {
            answer(done, failure(Step::ReadRecords));
            return;
        }
        schema::RecordPage page;
        page.set_next(m_records.size());
        for (; from < m_records.size(); ++from) {
            auto *added = page.add_records();
            added->set_offset(from);
            added->set_data(m_records[from]);
        }
        answer(done, std::move(page));
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_records.size();
    }

    bool down = false;
    bool appendsDown = false;
    bool loseAnswer = false; ///< The next append takes effect and fails all the same.
    std::string rival; ///< Gets into the log just before the next append.

private:
    static Error failure(Step step)
    {
        return Error { ErrorCode::Lost, step, "log", "lost" };
    }

    template <typename T, typename Value>
    void answer(std::function<void(Result<T>)> done, Value value)
    {
        QTimer::singleShot(0, &m_context, [done, value] { done(value); });
    }

    QObject m_context;
    std::vector<std::string> m_records;
};

static schema::ConfigChange makeChange(const std::string &id, std::uint32_t limit)
{
    schema::ConfigChange change;
    change.set_change_id(id);
    change.set_author("author of " + id);
    change.set_reason("test");
    schema::Contract &contract = *change.add_operations()->mutable_put_contract();
    contract.set_customer("c");
    contract.set_service("s");
    contract.set_key_sha256(std::string(32, 'x'));
    contract.set_in_flight_limit(limit);
    contract.set_urgency(schema::URGENCY_NORMAL);
    contract.set_max_run_ms(1);
    contract.set_max_queued(1);
    return change;
}

class LogDialogTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LogDialogTest);
    CPPUNIT_TEST(send_healthyLog_isAccepted);
    CPPUNIT_TEST(send_lostAnswer_isAcceptedOnce);
    CPPUNIT_TEST(send_rivalFirst_isConflictWithWinner);
    CPPUNIT_TEST(send_invalidChange_sendsNothing);
    CPPUNIT_TEST(send_logDown_isUnknownAndNotSent);
    CPPUNIT_TEST(send_appendsFail_isUnknownAndSent);
    CPPUNIT_TEST(read_logDown_isError);
    CPPUNIT_TEST(read_afterChange_showsIt);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        // One for the program: CppUnit makes all fixtures before the first test.
        static int argc = 0;
        static const QCoreApplication application(argc, nullptr);
    }

    void send_healthyLog_isAccepted()
    {
        const SentChange sent = send(makeChange("a", 1));
        CPPUNIT_ASSERT(sent.outcome.status == PublishStatus::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), sent.outcome.version);
    }

    void send_lostAnswer_isAcceptedOnce()
    {
        m_log.loseAnswer = true;
        CPPUNIT_ASSERT(send(makeChange("a", 1)).outcome.status == PublishStatus::Accepted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_log.size());
    }

    void send_rivalFirst_isConflictWithWinner()
    {
        schema::ConfigRecord record;
        *record.mutable_change() = makeChange("rival", 2);
        m_log.rival = record.SerializeAsString();
        const SentChange sent = send(makeChange("a", 1));
        CPPUNIT_ASSERT(sent.outcome.status == PublishStatus::Conflict);
        CPPUNIT_ASSERT_EQUAL(std::string("rival"), sent.outcome.winner);
        CPPUNIT_ASSERT(sent.winner && sent.winner->author() == "author of rival");
    }

    void send_invalidChange_sendsNothing()
    {
        const SentChange sent = send(makeChange("a", 0));
        CPPUNIT_ASSERT(sent.outcome.status == PublishStatus::Invalid);
        CPPUNIT_ASSERT(!sent.sent);
    }

    void send_logDown_isUnknownAndNotSent()
    {
        m_log.down = true;
        const SentChange sent = send(makeChange("a", 1));
        CPPUNIT_ASSERT(sent.outcome.status == PublishStatus::Unknown);
        CPPUNIT_ASSERT(!sent.sent);
    }

    void send_appendsFail_isUnknownAndSent()
    {
        m_log.appendsDown = true;
        const SentChange sent = send(makeChange("a", 1));
        CPPUNIT_ASSERT(sent.outcome.status == PublishStatus::Unknown);
        CPPUNIT_ASSERT(sent.sent);
    }

    void read_logDown_isError()
    {
        m_log.down = true;
        CPPUNIT_ASSERT(!isOk(ConfigReader(m_log).read(Bound)));
    }

    void read_afterChange_showsIt()
    {
        send(makeChange("a", 7));
        ConfigReader reader(m_log);
        const auto state = reader.read(Bound);
        CPPUNIT_ASSERT(isOk(state));
        const auto *contract = std::get<const ConfigState *>(state)->contract(CustomerName("c"));
        CPPUNIT_ASSERT(contract != nullptr && contract->in_flight_limit() == 7);
    }

private:
    static constexpr std::chrono::milliseconds Bound { 500 };

    SentChange send(schema::ConfigChange change)
    {
        return ChangeSender(m_log).send(std::move(change), Bound);
    }

    MemoryLog m_log;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LogDialogTest);

} // namespace Eelgrasscleat
