/// @file
/// Operators' files and names become operations, keys never show, and differences are named.
#include "../../lib/Operator/ChangeBuilder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace Eelgrasscleat
{

static schema::Contract makeContract(const std::string &customer, const std::string &key)
{
    schema::Contract contract;
    contract.set_customer(customer);
    contract.set_service("engrave-desk");
    contract.set_key_sha256(key.empty() ? "" : hashKey(key));
    contract.set_in_flight_limit(10);
    contract.set_urgency(schema::URGENCY_NORMAL);
    contract.set_max_run_ms(60000);
    contract.set_max_queued(10000);
    return contract;
}

static schema::Target makeTarget(const std::string &name)
{
    schema::Target target;
    target.set_name(name);
    target.set_zone("Regina");
    target.set_service("engrave-desk");
    target.set_address("127.0.0.1");
    target.set_port(1);
    target.set_slots(8);
    target.set_connections(60);
    target.set_state(schema::TARGET_STATE_ACTIVE);
    return target;
}

class ChangeBuilderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ChangeBuilderTest);
    CPPUNIT_TEST(readContractFile_complete_fillsDefaults);
    CPPUNIT_TEST(readContractFile_unknownUrgency_isRefused);
    CPPUNIT_TEST(readTargetsFile_empty_isRefused);
    CPPUNIT_TEST(readTargetsFile_two_returnsBoth);
    CPPUNIT_TEST(readKeyHash_lineEnd_isLeftOff);
    CPPUNIT_TEST(readKeyHash_shortKey_isRefused);
    CPPUNIT_TEST(keyFingerprint_anyKey_isNoPartOfItsHash);
    CPPUNIT_TEST(publish_newWithoutKey_isRefused);
    CPPUNIT_TEST(publish_knownWithoutKey_keepsHash);
    CPPUNIT_TEST(remove_unknownCustomer_isRefused);
    CPPUNIT_TEST(drain_knownTarget_changesOnlyState);
    CPPUNIT_TEST(retire_unknownTarget_isRefused);
    CPPUNIT_TEST(add_drainingTarget_staysDraining);
    CPPUNIT_TEST(diff_changedLimit_namesIt);
    CPPUNIT_TEST(diff_sameContract_isEmpty);
    CPPUNIT_TEST(diff_unpublished_listsAllFields);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_path = std::filesystem::temp_directory_path() / ("operator-test-" + std::to_string(getpid()));
        schema::ConfigRecord record;
        schema::ConfigChange &change = *record.mutable_change();
        change.set_change_id("first");
        change.set_author("ada");
        change.set_reason("test");
        *change.add_operations()->mutable_put_contract() = makeContract("prairie", "a long key");
        *change.add_operations()->mutable_put_target() = makeTarget("t1");
        const auto result = m_state.apply(0, record);
        CPPUNIT_ASSERT(isOk(result) && m_state.version() == 1);
    }

    void tearDown() override
    {
        std::filesystem::remove(m_path);
    }

    void readContractFile_complete_fillsDefaults()
    {
        write("customer = \"c\"\nservice = \"s\"\nin_flight_limit = 5\n");
        const auto contract = std::get<schema::Contract>(readContractFile(m_path, "hash"));
        CPPUNIT_ASSERT_EQUAL(schema::URGENCY_NORMAL, contract.urgency());
        CPPUNIT_ASSERT_EQUAL(60000U, contract.max_run_ms());
        CPPUNIT_ASSERT_EQUAL(std::string("hash"), contract.key_sha256());
    }

    void readContractFile_unknownUrgency_isRefused()
    {
        write("customer = \"c\"\nservice = \"s\"\nin_flight_limit = 5\nurgency = \"unspecified\"\n");
        CPPUNIT_ASSERT(!isOk(readContractFile(m_path, "hash")));
    }

    void readTargetsFile_empty_isRefused()
    {
        write("");
        CPPUNIT_ASSERT(!isOk(readTargetsFile(m_path)));
    }

    void readTargetsFile_two_returnsBoth()
    {
        const std::string rest = "zone = \"z\"\nservice = \"s\"\naddress = \"127.0.0.1\"\nport = 1\n";
        write("[[targets]]\nname = \"a\"\n" + rest + "[[targets]]\nname = \"b\"\nslots = 3\n" + rest);
        const auto targets = std::get<std::vector<schema::Target>>(readTargetsFile(m_path));
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), targets.size());
        CPPUNIT_ASSERT_EQUAL(8U, targets[0].slots());
        CPPUNIT_ASSERT_EQUAL(3U, targets[1].slots());
    }

    void readKeyHash_lineEnd_isLeftOff()
    {
        write("a long key\r\n");
        CPPUNIT_ASSERT(std::get<std::string>(readKeyHash(m_path)) == hashKey("a long key"));
    }

    void readKeyHash_shortKey_isRefused()
    {
        write("short\n");
        const auto hash = readKeyHash(m_path);
        CPPUNIT_ASSERT(!isOk(hash));
        CPPUNIT_ASSERT(std::get<Error>(hash).text().find("short") == std::string::npos);
    }

    void keyFingerprint_anyKey_isNoPartOfItsHash()
    {
        // SHA-256 of "abc" begins with ba7816bf.
        CPPUNIT_ASSERT(hashKey("abc").substr(0, 4) == std::string("\xba\x78\x16\xbf"));
        CPPUNIT_ASSERT(keyFingerprint(hashKey("abc")) != "ba7816bf");
        CPPUNIT_ASSERT(keyFingerprint(hashKey("abc")) != keyFingerprint(hashKey("abd")));
    }

    void publish_newWithoutKey_isRefused()
    {
        CPPUNIT_ASSERT(!isOk(publishContracts(m_state, { makeContract("new", "") })));
    }

    void publish_knownWithoutKey_keepsHash()
    {
        const auto operations = std::get<Operations>(publishContracts(m_state, { makeContract("prairie", "") }));
        CPPUNIT_ASSERT(operations[0].put_contract().key_sha256() == hashKey("a long key"));
    }

    void remove_unknownCustomer_isRefused()
    {
        CPPUNIT_ASSERT(isOk(removeContracts(m_state, { "prairie" })));
        CPPUNIT_ASSERT(!isOk(removeContracts(m_state, { "prairie", "other" })));
    }

    void drain_knownTarget_changesOnlyState()
    {
        auto operations = std::get<Operations>(changeTargets(m_state, { "t1" }, schema::TARGET_STATE_DRAINING));
        schema::Target target = operations[0].put_target();
        CPPUNIT_ASSERT_EQUAL(schema::TARGET_STATE_DRAINING, target.state());
        target.set_state(schema::TARGET_STATE_ACTIVE);
        CPPUNIT_ASSERT_EQUAL(makeTarget("t1").SerializeAsString(), target.SerializeAsString());
    }

    void retire_unknownTarget_isRefused()
    {
        CPPUNIT_ASSERT(!isOk(retireTargets(m_state, { "t2" })));
        CPPUNIT_ASSERT_EQUAL(std::string("t1"),
                             std::get<Operations>(retireTargets(m_state, { "t1" }))[0].remove_target());
    }

    void add_drainingTarget_staysDraining()
    {
        schema::ConfigRecord record;
        schema::ConfigChange &change = *record.mutable_change();
        change.set_change_id("second");
        change.set_author("ada");
        change.set_reason("test");
        change.set_base_version(1);
        *change.add_operations() =
            std::get<Operations>(changeTargets(m_state, { "t1" }, schema::TARGET_STATE_DRAINING))[0];
        CPPUNIT_ASSERT(isOk(m_state.apply(1, record)));
        const Operations operations = addTargets(m_state, { makeTarget("t1"), makeTarget("t2") });
        CPPUNIT_ASSERT_EQUAL(schema::TARGET_STATE_DRAINING, operations[0].put_target().state());
        CPPUNIT_ASSERT_EQUAL(schema::TARGET_STATE_ACTIVE, operations[1].put_target().state());
    }

    void diff_changedLimit_namesIt()
    {
        schema::Contract wanted = makeContract("prairie", "");
        wanted.set_in_flight_limit(20);
        const auto differences = diffContract(m_state, wanted);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), differences.size());
        CPPUNIT_ASSERT_EQUAL(std::string("in_flight_limit"), differences[0].field());
        CPPUNIT_ASSERT_EQUAL(std::string("10"), differences[0].published());
        CPPUNIT_ASSERT_EQUAL(std::string("20"), differences[0].file());
    }

    void diff_sameContract_isEmpty()
    {
        CPPUNIT_ASSERT(diffContract(m_state, makeContract("prairie", "a long key")).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), diffContract(m_state, makeContract("prairie", "another key")).size());
    }

    void diff_unpublished_listsAllFields()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t(7), diffContract(m_state, makeContract("new", "")).size());
    }

private:
    void write(const std::string &text) const
    {
        std::ofstream(m_path) << text;
    }

    std::filesystem::path m_path;
    ConfigState m_state;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChangeBuilderTest);

} // namespace Eelgrasscleat
