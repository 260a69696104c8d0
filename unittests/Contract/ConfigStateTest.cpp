/// @file
/// Tests the replay of the config stream: conflict detection, duplicate records, snapshots and validation.
#include "ConfigFixtures.h"

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class ConfigStateTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigStateTest);
    CPPUNIT_TEST(change_sameBaseOtherSubject_bothAccepted);
    CPPUNIT_TEST(change_sameBaseSameSubject_conflictWithWinner);
    CPPUNIT_TEST(change_oneSubjectInConflict_noneOfItsOperationsApplied);
    CPPUNIT_TEST(change_duplicateId_firstVerdictAndOneVersion);
    CPPUNIT_TEST(change_repeatedAfterResultEvicted_notAppliedAgain);
    CPPUNIT_TEST(change_baseAboveVersion_invalid);
    CPPUNIT_TEST(change_removesUnknownSubject_invalid);
    CPPUNIT_TEST(change_recreatesRemovedSubjectOnOldBase_conflict);
    CPPUNIT_TEST(change_baseOlderThanRemovalHistory_conflict);
    CPPUNIT_TEST(record_malformed_invalid);
    CPPUNIT_TEST(record_belowNextOffset_ignored);
    CPPUNIT_TEST(record_aboveNextOffset_rejected);
    CPPUNIT_TEST(snapshot_atNextOffset_contentIgnored);
    CPPUNIT_TEST(snapshot_aboveNextOffset_replacesState);
    CPPUNIT_TEST(snapshot_nextOffsetAboveOwnOffset_rejected);
    CPPUNIT_TEST(snapshot_restored_sameVerdictsAsOriginal);
    CPPUNIT_TEST(restore_olderSnapshot_rejected);
    CPPUNIT_TEST(validate_invalidField_errorNamesField);
    CPPUNIT_TEST_SUITE_END();

public:
    void change_sameBaseOtherSubject_bothAccepted()
    {
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("b", 0, "brandon"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_state.version());
    }

    void change_sameBaseSameSubject_conflictWithWinner()
    {
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina", 10));
        const auto result = expect(schema::CHANGE_VERDICT_CONFLICT, makeChange("b", 0, "regina", 20));
        CPPUNIT_ASSERT_EQUAL(std::string("a"), result.winner_change_id());
        CPPUNIT_ASSERT_EQUAL(10U, m_state.contract(CustomerName("regina"))->in_flight_limit());
    }

    void change_oneSubjectInConflict_noneOfItsOperationsApplied()
    {
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        auto change = makeChange("b", 0, "brandon");
        *change.add_operations()->mutable_put_contract() = makeContract("regina", 20);
        expect(schema::CHANGE_VERDICT_CONFLICT, change);
        CPPUNIT_ASSERT(m_state.contract(CustomerName("brandon")) == nullptr);
    }

    void change_duplicateId_firstVerdictAndOneVersion()
    {
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        expect(schema::CHANGE_VERDICT_CONFLICT, makeChange("b", 0, "regina"));
        const auto repeated = expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), repeated.version());
        expect(schema::CHANGE_VERDICT_CONFLICT, makeChange("b", 0, "regina"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.version());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), m_state.history().size());
    }

    void change_repeatedAfterResultEvicted_notAppliedAgain()
    {
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("b", 1, "brandon"));
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("c", 2, "brandon"));
        makeVersions(600);
        CPPUNIT_ASSERT(!m_state.result("a"));
        const std::uint64_t version = m_state.version();
        const auto repeated = expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), repeated.version());
        expect(schema::CHANGE_VERDICT_CONFLICT, makeChange("b", 1, "brandon"));
        CPPUNIT_ASSERT_EQUAL(version, m_state.version());
    }

    void change_baseAboveVersion_invalid()
    {
        expect(schema::CHANGE_VERDICT_INVALID, makeChange("a", 1, "regina"));
    }

    void change_removesUnknownSubject_invalid()
    {
        expect(schema::CHANGE_VERDICT_INVALID, makeRemoval("a", 0, "regina"));
    }

    void change_recreatesRemovedSubjectOnOldBase_conflict()
    {
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeRemoval("b", 1, "regina"));
        const auto result = expect(schema::CHANGE_VERDICT_CONFLICT, makeChange("c", 1, "regina"));
        CPPUNIT_ASSERT_EQUAL(std::string("b"), result.winner_change_id());
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("d", 2, "regina"));
    }

    void change_baseOlderThanRemovalHistory_conflict()
    {
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeRemoval("b", 1, "regina"));
        makeVersions(4500);
        // Only the subject of makeVersions() is left, since the removal was pruned.
        CPPUNIT_ASSERT_EQUAL(1, m_state.snapshot().subjects_size());
        expect(schema::CHANGE_VERDICT_CONFLICT, makeChange("c", 1, "regina"));
    }

    void record_malformed_invalid()
    {
        const auto result = m_state.apply(0, {});
        CPPUNIT_ASSERT_EQUAL(schema::CHANGE_VERDICT_INVALID, verdictOf(result).verdict());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.nextOffset());
        CPPUNIT_ASSERT(m_state.history().empty());
    }

    void record_belowNextOffset_ignored()
    {
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina", 10));
        const auto result = m_state.apply(0, makeRecord(makeChange("b", 1, "regina", 20)));
        CPPUNIT_ASSERT(isOk(result) && !std::get<0>(result));
        CPPUNIT_ASSERT_EQUAL(10U, m_state.contract(CustomerName("regina"))->in_flight_limit());
    }

    void record_aboveNextOffset_rejected()
    {
        const auto result = m_state.apply(3, makeRecord(makeChange("a", 0, "regina")));
        CPPUNIT_ASSERT(!isOk(result));
        CPPUNIT_ASSERT(std::get<Error>(result).step == Step::ApplyConfig);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_state.nextOffset());
    }

    void snapshot_atNextOffset_contentIgnored()
    {
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        schema::ConfigRecord record;
        record.mutable_snapshot()->set_next_offset(1);
        record.mutable_snapshot()->set_version(9);
        CPPUNIT_ASSERT(isOk(m_state.apply(1, record)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.version());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), m_state.nextOffset());
    }

    void snapshot_aboveNextOffset_replacesState()
    {
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        schema::ConfigRecord record;
        *record.mutable_snapshot() = m_state.snapshot();
        ConfigState other;
        CPPUNIT_ASSERT(isOk(other.apply(7, record)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), other.nextOffset());
        CPPUNIT_ASSERT(other.contract(CustomerName("regina")) != nullptr);
    }

    void snapshot_nextOffsetAboveOwnOffset_rejected()
    {
        schema::ConfigRecord record;
        record.mutable_snapshot()->set_next_offset(8);
        CPPUNIT_ASSERT(!isOk(m_state.apply(7, record)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), m_state.nextOffset());
    }

    void snapshot_restored_sameVerdictsAsOriginal()
    {
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        expect(schema::CHANGE_VERDICT_CONFLICT, makeChange("b", 0, "regina"));
        ConfigState other;
        CPPUNIT_ASSERT(other.restore(m_state.snapshot()));
        for (const auto &change : { makeChange("b", 1, "regina"), makeChange("c", 0, "regina") }) {
            const std::uint64_t offset = m_state.nextOffset();
            const auto original = verdictOf(m_state.apply(offset, makeRecord(change)));
            const auto restored = verdictOf(other.apply(offset, makeRecord(change)));
            CPPUNIT_ASSERT_EQUAL(original.SerializeAsString(), restored.SerializeAsString());
        }
        CPPUNIT_ASSERT_EQUAL(m_state.snapshot().SerializeAsString(), other.snapshot().SerializeAsString());
    }

    void restore_olderSnapshot_rejected()
    {
        const schema::ConfigSnapshot old = m_state.snapshot();
        expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange("a", 0, "regina"));
        CPPUNIT_ASSERT(!m_state.restore(old));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), m_state.version());
    }

    void validate_invalidField_errorNamesField()
    {
        const auto valid = makeChange("a", 0, "regina");
        CPPUNIT_ASSERT(isOk(validateChange(valid)));
        expectInvalidField("change_id", [](auto &change) { change.clear_change_id(); });
        expectInvalidField("author", [](auto &change) { change.clear_author(); });
        expectInvalidField("reason", [](auto &change) { change.clear_reason(); });
        expectInvalidField("operations (count)", [](auto &change) { change.clear_operations(); });
        expectInvalidField("operations[1].kind", [](auto &change) { change.add_operations(); });
        expectInvalidField("operations[1]: an earlier",
                           [](auto &change) { *change.add_operations() = change.operations(0); });
        expectInvalidField("customer", [](auto &change) { contractOf(change).set_customer("a/b"); });
        expectInvalidField("service", [](auto &change) { contractOf(change).clear_service(); });
        expectInvalidField("key_sha256", [](auto &change) { contractOf(change).set_key_sha256("short"); });
        expectInvalidField("in_flight_limit", [](auto &change) { contractOf(change).clear_in_flight_limit(); });
        expectInvalidField("urgency", [](auto &change) { contractOf(change).clear_urgency(); });
        expectInvalidField("max_run_ms", [](auto &change) { contractOf(change).clear_max_run_ms(); });
        expectInvalidField("max_queued", [](auto &change) { contractOf(change).clear_max_queued(); });
        expectInvalidField("remove_target", [](auto &change) { change.mutable_operations(0)->set_remove_target(""); });
        expectInvalidField("operations[0].put_target.port", [](auto &change) {
            auto *target = change.mutable_operations(0)->mutable_put_target();
            target->set_name("t");
            target->set_zone("z");
            target->set_service("s");
            target->set_address("127.0.0.1");
            target->set_port(70000);
        });
    }

private:
    static schema::ConfigChange makeRemoval(const std::string &id, std::uint64_t base, const std::string &customer)
    {
        auto change = makeEmptyChange(id, base);
        change.add_operations()->set_remove_contract(customer);
        return change;
    }

    static schema::Contract &contractOf(schema::ConfigChange &change)
    {
        return *change.mutable_operations(0)->mutable_put_contract();
    }

    static schema::ChangeResult verdictOf(const Result<std::optional<schema::ChangeResult>> &result)
    {
        CPPUNIT_ASSERT(isOk(result));
        CPPUNIT_ASSERT(std::get<0>(result).has_value());
        return *std::get<0>(result);
    }

    schema::ChangeResult expect(schema::ChangeVerdict verdict, const schema::ConfigChange &change)
    {
        const auto result = verdictOf(m_state.apply(m_state.nextOffset(), makeRecord(change)));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.detail(), verdict, result.verdict());
        return result;
    }

    void makeVersions(int n)
    {
        for (int i = 0; i < n; ++i) {
            const std::string id = "filler-" + std::to_string(i);
            expect(schema::CHANGE_VERDICT_ACCEPTED, makeChange(id, m_state.version(), "filler"));
        }
    }

    template <typename Edit>
    static void expectInvalidField(const std::string &field, Edit edit)
    {
        auto change = makeChange("a", 0, "regina");
        edit(change);
        const auto result = validateChange(change);
        CPPUNIT_ASSERT_MESSAGE(field, !isOk(result));
        const std::string detail = std::get<Error>(result).detail;
        CPPUNIT_ASSERT_MESSAGE(detail, detail.find(field) != std::string::npos);
    }

    ConfigState m_state;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigStateTest);

} // namespace Eelgrasscleat
