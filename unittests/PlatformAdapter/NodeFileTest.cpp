/// @file
/// The settings file: what is used is checked, what is unknown is ignored, and errors name the field.
#include "NodeFile.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QTemporaryFile>

namespace Eelgrasscleat::PlatformAdapter
{

class NodeFileTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NodeFileTest);
    CPPUNIT_TEST(read_wellFormed_fieldsTaken);
    CPPUNIT_TEST(read_limits_capacityTaken);
    CPPUNIT_TEST(read_impossibleLimit_errorNamesIt);
    CPPUNIT_TEST(read_unknownFields_ignored);
    CPPUNIT_TEST(read_missingOrDamagedField_errorNamesIt);
    CPPUNIT_TEST(read_brokenSyntax_errorNamesLine);
    CPPUNIT_TEST(read_noFile_error);
    CPPUNIT_TEST_SUITE_END();

public:
    void read_wellFormed_fieldsTaken()
    {
        const auto result = read(kFile);
        const auto &file = std::get<NodeFile>(result);
        CPPUNIT_ASSERT_EQUAL(std::string("front-regina-1"), file.node.self.name.value);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t { 7720 }, file.node.self.port);
        CPPUNIT_ASSERT((file.callers == Endpoint { "10.1.0.13", 8161 }));
        CPPUNIT_ASSERT((file.store == Endpoint { "10.200.1.7", 8169 }));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 16 }, file.node.shards);
        CPPUNIT_ASSERT(file.node.dispatcher.leaseLength == std::chrono::milliseconds(1000));
    }

    void read_limits_capacityTaken()
    {
        QByteArray text = kFile;
        text.replace("cpu-quota = 0.25", "cpu-quota = 0.09\nlink-mbps = 2.5");
        const auto result = read(text);
        const InstanceCapacity capacity = std::get<NodeFile>(result).node.self.capacity;
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 90 }, capacity.milliCores);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t { 2500 }, capacity.linkKbps);
    }

    void read_impossibleLimit_errorNamesIt()
    {
        CPPUNIT_ASSERT(!isOk(read("bootstrap = 1\n" + kFile)));
        for (const char *it : { "cpu-quota = -1.0", "cpu-quota = nan", "cpu-quota = \"much\"" }) {
            QByteArray text = kFile;
            text.replace("cpu-quota = 0.25", it);
            const auto result = read(text);
            CPPUNIT_ASSERT(!isOk(result));
            CPPUNIT_ASSERT(std::get<Error>(result).detail.find("limits.cpu-quota") != std::string::npos);
        }
    }

    void read_unknownFields_ignored()
    {
        CPPUNIT_ASSERT(isOk(read("novelty = [1, 2]\n" + kFile + "[new]\nfield = true\n")));
    }

    void read_missingOrDamagedField_errorNamesIt()
    {
        const std::vector<std::pair<const char *, const char *>> kFields = {
            { "node = \"front-regina-1\"\n", "node" },          { "zone = \"regina\"\n", "zone" },
            { "front = \"10.1.0.13:8161\"\n", "listen.front" }, { "addr = \"10.200.1.7:8169\"\n", "platform.addr" },
            { "port-range = [7720,7735]\n", "port-range" },
        };
        for (const auto &it : kFields) {
            QByteArray text = kFile;
            text.replace(it.first, "");
            const auto result = read(text);
            CPPUNIT_ASSERT_MESSAGE(it.second, !isOk(result));
            CPPUNIT_ASSERT_MESSAGE(it.second, std::get<Error>(result).detail.find(it.second) != std::string::npos);
        }
        QByteArray text = kFile;
        text.replace("hold-max-ms = 1000", "hold-max-ms = \"long\"");
        CPPUNIT_ASSERT(std::get<Error>(read(text)).detail.find("hold-max-ms") != std::string::npos);
        text = kFile;
        text.replace("10.1.0.13:8161", "10.1.0.13:0");
        CPPUNIT_ASSERT(!isOk(read(text)));
    }

    void read_brokenSyntax_errorNamesLine()
    {
        const auto result = read("node = \"a\"\nzone = \n");
        CPPUNIT_ASSERT(std::get<Error>(result).detail.find("line 2") != std::string::npos);
    }

    void read_noFile_error()
    {
        CPPUNIT_ASSERT(!isOk(readNodeFile("/nonexistent/local.toml")));
    }

private:
    static Result<NodeFile> read(const QByteArray &text)
    {
        QTemporaryFile file;
        file.open();
        file.write(text);
        file.flush();
        return readNodeFile(file.fileName().toStdString());
    }

    const QByteArray kFile = R"(node = "front-regina-1"
zone = "regina"
ip = "10.1.0.13"
port-range = [7720,7735]
[listen]
front = "10.1.0.13:8161"
readiness = "10.1.0.13:8167"
[limits]
cpu-quota = 0.25
[bounds]
hold-max-ms = 1000
[platform]
addr = "10.200.1.7:8169"
parts = 16
ttl-min-ms = 1000
)";
};

CPPUNIT_TEST_SUITE_REGISTRATION(NodeFileTest);

} // namespace Eelgrasscleat::PlatformAdapter
