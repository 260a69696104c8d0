/// @file
/// Conversions between UTF-8 and Qt's texts: nothing is lost, and no input ends the process.
#include <eelgrasscleat/Wire/QtText.h>

#include <cppunit/extensions/HelperMacros.h>

namespace Eelgrasscleat
{

class QtTextTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(QtTextTest);
    CPPUNIT_TEST(text_anyCharacters_convertedBothWays);
    CPPUNIT_TEST(text_notUtf8_replaced);
    CPPUNIT_TEST(text_unpairedSurrogate_hasNoUtf8);
    CPPUNIT_TEST_SUITE_END();

public:
    void text_anyCharacters_convertedBothWays()
    {
        for (const std::string &it : { std::string(),
                                       std::string("\xef\xbb\xbf"),
                                       std::string("\xef\xbb\xbf\xef\xbb\xbfx"),
                                       std::string("a\0b", 3),
                                       std::string("\xc3\xbc\xf0\x9f\x98\x80\xef\xbf\xbf") }) {
            const auto back = toUtf8(toQString(it));
            CPPUNIT_ASSERT(back.has_value());
            CPPUNIT_ASSERT_EQUAL(it, *back);
        }
    }

    void text_notUtf8_replaced()
    {
        for (const char *it : { "\xff", "a\xc3", "\xed\xa0\x80", "\xc0\x80" }) {
            CPPUNIT_ASSERT_MESSAGE(it, toQString(it).contains(QChar(QChar::ReplacementCharacter)));
        }
    }

    void text_unpairedSurrogate_hasNoUtf8()
    {
        const QChar high(0xd83d);
        const QChar low(0xde00);
        for (const QString &it :
             { QString(high), QString(low), QString(low) + high, QString(high) + QLatin1Char('x') }) {
            CPPUNIT_ASSERT(!toUtf8(it).has_value());
        }
        CPPUNIT_ASSERT(toUtf8(QString(high) + low).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QtTextTest);

} // namespace Eelgrasscleat
