/// @file
/// The number of commas outside of texts bounds the values of a JSON document.
#include <eelgrasscleat/Wire/JsonCodec.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class JsonCodecTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JsonCodecTest);
    CPPUNIT_TEST(countCommas_listOfObjects_countsSeparators);
    CPPUNIT_TEST(countCommas_commasInTexts_notCounted);
    CPPUNIT_TEST(countCommas_escapedQuotesAndEnds_textGoesOn);
    CPPUNIT_TEST_SUITE_END();

public:
    void countCommas_listOfObjects_countsSeparators()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, countCommas(R"({"a":[{},{},{"b":1,"c":2}]})"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, countCommas(""));
    }

    void countCommas_commasInTexts_notCounted()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countCommas(R"(["a,b,,","c"])"));
    }

    void countCommas_escapedQuotesAndEnds_textGoesOn()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countCommas(R"(["a\",\\\",",2])"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, countCommas(R"(["\\",","])"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, countCommas("\"a\\"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonCodecTest);

} // namespace Eelgrasscleat
