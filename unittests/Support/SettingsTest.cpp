/// @file
/// Settings files: every kind of error is refused with its place, and defaults are filled in.
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Settings.h>

#include <settings.pb.h>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace Eelgrasscleat
{

class SettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SettingsTest);
    CPPUNIT_TEST(readSettings_requiredKeysOnly_fillsDefaults);
    CPPUNIT_TEST(readSettings_unknownKey_namesLineAndKey);
    CPPUNIT_TEST(readSettings_wrongType_namesFoundAndExpected);
    CPPUNIT_TEST(readSettings_outOfRange_namesRange);
    CPPUNIT_TEST(readSettings_missingRequired_namesKey);
    CPPUNIT_TEST(readSettings_brokenSyntax_namesLine);
    CPPUNIT_TEST(printSettings_mixedSources_namesEachSource);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_path = std::filesystem::temp_directory_path() / ("settings-test-" + std::to_string(getpid()) + ".toml");
    }

    void tearDown() override
    {
        std::filesystem::remove(m_path);
    }

    void readSettings_requiredKeysOnly_fillsDefaults()
    {
        write("port = 0\n");
        CPPUNIT_ASSERT(isOk(readSettings(m_path, m_settings)));
        CPPUNIT_ASSERT_EQUAL(std::string("127.0.0.1"), m_settings.address());
        CPPUNIT_ASSERT_EQUAL(400U, m_settings.appends_per_second());
    }

    void readSettings_unknownKey_namesLineAndKey()
    {
        write("port = 0\nprot = 1\n");
        expectError(":2", "'prot'");
    }

    void readSettings_wrongType_namesFoundAndExpected()
    {
        write("port = \"http\"\n");
        expectError("found \"http\"", "expected a whole number");
    }

    void readSettings_outOfRange_namesRange()
    {
        write("port = 70000\n");
        expectError("found 70000", "from 0 to 65535");
    }

    void readSettings_missingRequired_namesKey()
    {
        write("append_ms = 1\n");
        expectError("'port'", "found nothing");
    }

    void readSettings_brokenSyntax_namesLine()
    {
        write("port = 0\nappend_ms = = 3\n");
        expectError(":2", "read_settings");
    }

    void printSettings_mixedSources_namesEachSource()
    {
        write("port = 7\n");
        CPPUNIT_ASSERT(isOk(readSettings(m_path, m_settings)));
        const std::string text = printSettings(m_path, m_settings);
        CPPUNIT_ASSERT(text.find("port = 7  # file") != std::string::npos);
        CPPUNIT_ASSERT(text.find("append_ms = 5  # default, ms") != std::string::npos);
    }

private:
    void write(const std::string &text) const
    {
        std::ofstream(m_path) << text;
    }

    void expectError(const std::string &first, const std::string &second)
    {
        const auto result = readSettings(m_path, m_settings);
        CPPUNIT_ASSERT(!isOk(result));
        const std::string text = std::get<Error>(result).text();
        CPPUNIT_ASSERT_MESSAGE(text, text.find(first) != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, text.find(second) != std::string::npos);
    }

    std::filesystem::path m_path;
    schema::PlatformStandInSettings m_settings;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

} // namespace Eelgrasscleat
