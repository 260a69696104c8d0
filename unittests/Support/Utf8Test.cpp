/// @file
/// Valid and invalid UTF-8.
#include <eelgrasscleat/Support/Utf8.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace Eelgrasscleat
{

class Utf8Test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(Utf8Test);
    CPPUNIT_TEST(sequence_valid_itsLength);
    CPPUNIT_TEST(sequence_invalid_zero);
    CPPUNIT_TEST(text_withControlCharacters_notPrintable);
    CPPUNIT_TEST_SUITE_END();

public:
    void sequence_valid_itsLength()
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, utf8SequenceLength("a\xff"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, utf8SequenceLength("\xc3\xbc"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 3 }, utf8SequenceLength("\xed\x9f\xbf"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, utf8SequenceLength("\xf4\x8f\xbf\xbf"));
    }

    void sequence_invalid_zero()
    {
        for (const char *it : { "",
                                "\x80",
                                "\xff",
                                "\xc3",
                                "\xc0\x80",
                                "\xe0\x80\x80",
                                "\xed\xa0\x80",
                                "\xf0\x9f\x98",
                                "\xf4\x90\x80\x80",
                                "\xe2\x82x" }) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, std::size_t { 0 }, utf8SequenceLength(it));
        }
    }

    void text_withControlCharacters_notPrintable()
    {
        CPPUNIT_ASSERT(isPrintableUtf8("front-1 \xc3\xbc"));
        for (const std::string &it :
             { std::string("a\r\nb"), std::string(1, '\0'), std::string("\x7f"), std::string("a\xff") }) {
            CPPUNIT_ASSERT(!isPrintableUtf8(it));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(Utf8Test);

} // namespace Eelgrasscleat
