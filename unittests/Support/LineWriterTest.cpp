/// @file
/// The writer of JSON lines: whole lines, escaped, and dropped rather than waited for.
#include "../../lib/Support/LineWriter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <string>

namespace Eelgrasscleat
{

class LineWriterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LineWriterTest);
    CPPUNIT_TEST(write_fields_oneLineEscaped);
    CPPUNIT_TEST(write_fieldNotUtf8_lineStaysReadable);
    CPPUNIT_TEST(write_nobodyReads_neverBlocksAndCountsDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        std::array<int, 2> ends {};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        m_read = ends[0];
        m_write = ends[1];
        ::fcntl(m_read, F_SETFL, O_NONBLOCK);
    }

    void tearDown() override
    {
        ::close(m_read);
        ::close(m_write);
    }

    void write_fields_oneLineEscaped()
    {
        LineWriter writer(m_write, "process");
        writer.write("info", "said \"no\"", { { "peer", "a\nb" }, { "count", std::uint64_t { 3 } } });
        writer.flush();
        const std::string line = readAll();
        CPPUNIT_ASSERT_EQUAL('\n', line.back());
        const std::string expected = R"("level":"info","process":"process","message":"said \"no\"",)"
                                     R"("peer":"a\u000ab","count":"3"})";
        CPPUNIT_ASSERT_MESSAGE(line, line.find(expected) != std::string::npos);
    }

    void write_fieldNotUtf8_lineStaysReadable()
    {
        LineWriter writer(m_write, "process");
        writer.write("info", "message", { { "peer", "a\xff\xc3\xbc\xe2\x82" } });
        writer.flush();
        const std::string line = readAll();
        CPPUNIT_ASSERT_MESSAGE(line, line.find("\"a\\ufffd\xc3\xbc\\ufffd\\ufffd\"") != std::string::npos);
    }

    void write_nobodyReads_neverBlocksAndCountsDropped()
    {
        LineWriter writer(m_write, "process");
        const std::string text(1000, 'x');
        for (int i = 0; i < 2000; ++i) {
            writer.write("info", text, {});
        }
        std::string all;
        for (std::string part = readAll(); !part.empty(); part = readAll()) {
            all += part;
            writer.flush();
        }
        CPPUNIT_ASSERT(all.find("log lines dropped") != std::string::npos);
        CPPUNIT_ASSERT(all.size() < 2000 * text.size());
    }

private:
    std::string readAll() const
    {
        std::string all;
        std::array<char, 65536> buf {};
        for (auto n = ::read(m_read, buf.data(), buf.size()); n > 0; n = ::read(m_read, buf.data(), buf.size())) {
            all.append(buf.data(), static_cast<std::size_t>(n));
        }
        return all;
    }

    int m_read = -1;
    int m_write = -1;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LineWriterTest);

} // namespace Eelgrasscleat
