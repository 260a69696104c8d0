/// @file
/// Entries that another writer has left in a list: each that can't be read is a named error and costs itself alone.
#include "Records.h"
#include "TargetClient.h"

#include <cppunit/extensions/HelperMacros.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace Eelgrasscleat::PlatformAdapter
{

class OddEntriesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OddEntriesTest);
    CPPUNIT_TEST(target_numberOutOfRange_rejected);
    CPPUNIT_TEST(target_addressOrPortOutOfRange_rejected);
    CPPUNIT_TEST(target_fieldMissingOrOfOtherType_rejected);
    CPPUNIT_TEST(target_oddTexts_rejected);
    CPPUNIT_TEST(target_oddLabels_rejected);
    CPPUNIT_TEST(target_oddKey_rejected);
    CPPUNIT_TEST(target_duplicateKeys_lastOneCounts);
    CPPUNIT_TEST(target_oddUnusedField_ignored);
    CPPUNIT_TEST(instance_portOutOfRange_rejected);
    CPPUNIT_TEST(instance_oddFields_rejected);
    CPPUNIT_TEST(crash_oddRows_rejected);
    CPPUNIT_TEST(crash_tooManyTasks_rejected);
    CPPUNIT_TEST(any_deeplyNestedOrUnreadable_rejected);
    CPPUNIT_TEST(configuration_oddRoute_othersHold);
    CPPUNIT_TEST(configuration_oddLimits_defaultsKept);
    CPPUNIT_TEST(configuration_oddVersionOrRoutes_rejected);
    CPPUNIT_TEST(listing_oddItems_othersRead);
    CPPUNIT_TEST(listing_keyNotUtf8_rejectedOthersRead);
    CPPUNIT_TEST(listing_keyWithReplacementCharacter_read);
    CPPUNIT_TEST(page_recordWithoutKey_othersRead);
    CPPUNIT_TEST(report_numbersOutOfRange_rejected);
    CPPUNIT_TEST(order_clockOutOfRange_noClock);
    CPPUNIT_TEST_SUITE_END();

public:
    void target_numberOutOfRange_rejected()
    {
        // 2^32 + 64,000 thousandths of a core must not become 64 cores.
        for (const char *it : { "4295031296", "10000001", "-1", "1.5", "1e300", "9007199254740994", "1e999", "null" }) {
            assertRejected(replaced("\"cpu\":16000", QByteArray("\"cpu\":") + it), it);
        }
        for (const char *it : { "4294967296", "-1", "0.5" }) {
            assertRejected(replaced("\"mem-mb\":32768", QByteArray("\"mem-mb\":") + it), it);
            assertRejected(replaced("\"gpu\":0", QByteArray("\"gpu\":") + it), it);
        }
        for (const char *it : { "0", "-1", "0.5", "1e300", "9007199254740994" }) {
            assertRejected(replaced("\"born\":1700000000123", QByteArray("\"born\":") + it), it);
        }
    }

    void target_addressOrPortOutOfRange_rejected()
    {
        for (const char *it : { "",
                                "10.128.0.9",
                                "10.128.0.9:",
                                ":8080",
                                "10.128.0.9:0",
                                "10.128.0.9:65536",
                                "10.128.0.9:73616",
                                "10.128.0.9:99999999999999999999",
                                "10.128.0.9:-1",
                                "10.128.0.9:80:90",
                                "10.128.0.9:+80",
                                "10.128.0.9:0x50",
                                "10.128.0.9: 80",
                                "desk.example:80",
                                "999.1.1.1:80",
                                "10.128.0.9\\r\\nX:80" }) {
            assertRejected(replaced("10.128.0.9:8080", it), it);
        }
    }

    void target_fieldMissingOrOfOtherType_rejected()
    {
        const QJsonObject sound = QJsonDocument::fromJson(kTarget).object();
        for (const char *name : { "service", "addr", "zone", "state", "capacity", "labels", "born" }) {
            QJsonObject entry = sound;
            entry.remove(QLatin1String(name));
            assertRejected(QJsonDocument(entry).toJson(), name);
            for (const QJsonValue &it : kOddValues) {
                if (it == QJsonArray() && std::string(name) == "labels") {
                    continue; // A target without labels.
                }
                entry[QLatin1String(name)] = it;
                assertRejected(QJsonDocument(entry).toJson(), name);
            }
        }
        for (const char *name : { "cpu", "mem-mb" }) {
            QJsonObject entry = sound;
            QJsonObject capacity = sound[QLatin1String("capacity")].toObject();
            capacity.remove(QLatin1String(name));
            entry[QLatin1String("capacity")] = capacity;
            assertRejected(QJsonDocument(entry).toJson(), name);
        }
    }

    void target_oddTexts_rejected()
    {
        const QByteArray tooLong(300, 'x');
        for (const char *name : { "service", "zone" }) {
            for (const QByteArray &it : { QByteArray(), tooLong, QByteArray("a\\u0000b"), QByteArray("a\\r\\nb") }) {
                const QByteArray field = QByteArray("\"") + name + "\":\"";
                assertRejected(replaced(field, field + it + "\",\"was\":\""), name);
            }
        }
        assertRejected(replaced("\"ready\"", "\"resting\""), "state");
    }

    void target_oddLabels_rejected()
    {
        for (const char *it : { "[7]", "[null]", "[[\"a\"]]", "[\"a\",{}]" }) {
            assertRejected(replaced("[\"a\",\"r1-3\"]", it), it);
        }
        assertRejected(replaced("[\"a\",\"r1-3\"]", "[" + QByteArray("\"a\",").repeated(1000) + "\"a\"]"), "many");
    }

    void target_oddKey_rejected()
    {
        for (const std::string &it :
             { std::string(), std::string("a\r\nX: y"), std::string("\xff"), std::string(1, '\0') }) {
            CPPUNIT_ASSERT(!isOk(decodeTarget(it, kTarget)));
        }
    }

    void target_duplicateKeys_lastOneCounts()
    {
        assertRejected(replaced("\"labels\":", "\"capacity\":7,\"labels\":"), "later capacity");
        const auto read =
            decodeTarget("i-1", replaced("\"labels\":", "\"capacity\":{\"cpu\":8000,\"mem-mb\":1},\"labels\":"));
        CPPUNIT_ASSERT_EQUAL(8000U, std::get<DispatchTarget>(read).capacity.milliCores);
    }

    void target_oddUnusedField_ignored()
    {
        CPPUNIT_ASSERT(isOk(decodeTarget("i-1", replaced("\"slots\":8", "\"slots\":\"many\""))));
    }

    void instance_portOutOfRange_rejected()
    {
        CPPUNIT_ASSERT(isOk(decodeInstance("front-1", kInstance)));
        for (const char *it : { "0", "65536", "73256", "-1", "77.2", "\"7720\"", "null", "1e300" }) {
            QByteArray odd = kInstance;
            odd.replace("7720", it);
            CPPUNIT_ASSERT_MESSAGE(it, !isOk(decodeInstance("front-1", odd)));
        }
    }

    void instance_oddFields_rejected()
    {
        const QJsonObject sound = QJsonDocument::fromJson(kInstance).object();
        for (const char *name : { "zone", "address", "port", "milli-cores", "link-kbps" }) {
            QJsonObject entry = sound;
            for (const QJsonValue &it : kOddValues) {
                entry[QLatin1String(name)] = it;
                CPPUNIT_ASSERT_MESSAGE(name, !isOk(decodeInstance("front-1", QJsonDocument(entry).toJson())));
            }
        }
        for (const char *it : { "front.example", "999.1.1.1", "10.0.0.1:80" }) {
            QByteArray odd = kInstance;
            odd.replace("10.0.0.1", it);
            CPPUNIT_ASSERT_MESSAGE(it, !isOk(decodeInstance("front-1", odd)));
        }
        CPPUNIT_ASSERT(!isOk(decodeInstance("front\n1", kInstance)));
        QByteArray odd = kInstance;
        odd.replace("250", "4294967296");
        CPPUNIT_ASSERT(!isOk(decodeInstance("front-1", odd)));
    }

    void crash_oddRows_rejected()
    {
        const std::string key = crashKey({ TargetName("i-1"), 17 });
        for (const char *it : { R"([["5c0e7a21d94b36f8.0.1.17",1,true]])",
                                R"([["5c0e7a21d94b36f8.0.1.17",true,"yes"]])",
                                R"([["5c0e7a21d94b36f8.0.1.17"]])",
                                R"([["5c0e7a21d94b36f8.0.1.4294967296",true,true]])",
                                R"([["5c0e7a21d94b36f8.0.-1.1",true,true]])",
                                R"([[7,true,true]])",
                                "[null]",
                                "[[[[]]]]" }) {
            CPPUNIT_ASSERT_MESSAGE(it, !isOk(decodeCrash(key, QByteArray("{\"tasks\":") + it + "}")));
        }
        for (const char *it : { "99999999999999999999/i-1", "-1/i-1", "17/i\n1", "17/\xff" }) {
            CPPUNIT_ASSERT_MESSAGE(it, !isOk(decodeCrash(it, R"({"tasks":[]})")));
        }
    }

    void crash_tooManyTasks_rejected()
    {
        const QByteArray rows = QByteArray(R"(["5c0e7a21d94b36f8.0.1.17",true,true],)").repeated(2000);
        const QByteArray value = R"({"tasks":[)" + rows.chopped(1) + "]}";
        CPPUNIT_ASSERT(!isOk(decodeCrash(crashKey({ TargetName("i-1"), 17 }), value)));
    }

    void any_deeplyNestedOrUnreadable_rejected()
    {
        constexpr int kDepth = 100000;
        const QByteArray inside =
            "{\"x\":" + QByteArray("[").repeated(kDepth) + QByteArray("]").repeated(kDepth) + "," + kTarget.mid(1);
        const QByteArray utf16(reinterpret_cast<const char *>(QString::fromUtf8(kTarget).utf16()), kTarget.size() * 2);
        for (const QByteArray &it : { QByteArray("[").repeated(kDepth),
                                      QByteArray("{\"a\":").repeated(kDepth),
                                      inside,
                                      utf16,
                                      kTarget + kTarget,
                                      kTarget.chopped(1),
                                      kTarget.chopped(1) + ",\"x\":\"\xff\"}",
                                      QByteArray("\0", 1),
                                      QByteArray("null"),
                                      QByteArray("7"),
                                      QByteArray("[]") }) {
            CPPUNIT_ASSERT(!isOk(decodeTarget("i-1", it)));
            CPPUNIT_ASSERT(!isOk(decodeInstance("front-1", it)));
            CPPUNIT_ASSERT(!isOk(decodeCrash("1/i-1", it)));
            CPPUNIT_ASSERT(!isOk(decodeConfiguration(it)));
            CPPUNIT_ASSERT(!isOk(decodeNewest(it)));
            CPPUNIT_ASSERT(!isOk(decodeReport(it.toStdString())));
        }
    }

    void configuration_oddRoute_othersHold()
    {
        for (const char *it :
             { "{}",
               "7",
               "null",
               "[]",
               R"({"name":"r","host":"h","path-prefix":"/b/"})",
               R"({"name":"r","host":"h","path-prefix":"/b/","service":"s","priority":4294967296})",
               R"({"name":"r","host":"h","path-prefix":"/b/","service":"s","attempts":4294967296})",
               R"({"name":"r","host":"h","path-prefix":"/b/","service":"s","attempts":-1})",
               R"({"name":"r","host":"h","path-prefix":"/b/","service":"s","stretch":1e308})",
               R"({"name":"r","host":"h","path-prefix":"/b/","service":"s","stretch":-1})",
               R"({"name":"r","host":"h","path-prefix":"/b/","service":"s","timeout-ms":9007199254740992})",
               R"({"name":"r","host":"h","path-prefix":"/b/","service":"s","target-latency-ms":1e15})",
               R"({"name":"r\u0000","host":"h","path-prefix":"/b/","service":"s"})" }) {
            const auto read =
                decodeConfiguration(QByteArray(R"({"version":3,"limits":{},"routes":[)") + it + "," + kRoute + "]}");
            const auto &record = std::get<ConfigurationRecord>(read);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, std::size_t { 1 }, record.configuration.routes.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(it, std::size_t { 1 }, record.rejected.size());
        }
    }

    void configuration_oddLimits_defaultsKept()
    {
        const FleetConfiguration defaults;
        for (const char *it :
             { R"({"max-header-bytes":0,"max-body-bytes":4294967296,"idle-timeout-ms":-1,"header-timeout-ms":0})",
               R"({"max-header-bytes":"x","max-body-bytes":null,"idle-timeout-ms":1e300,"header-timeout-ms":"1"})" }) {
            const auto read = decodeConfiguration(QByteArray(R"({"version":3,"routes":[],"limits":)") + it + "}");
            const auto &record = std::get<ConfigurationRecord>(read);
            CPPUNIT_ASSERT_EQUAL(defaults.headerBytes, record.configuration.headerBytes);
            CPPUNIT_ASSERT_EQUAL(defaults.bodyBytes, record.configuration.bodyBytes);
            CPPUNIT_ASSERT(defaults.idleTimeout == record.configuration.idleTimeout);
            CPPUNIT_ASSERT(defaults.headerTimeout == record.configuration.headerTimeout);
            CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, record.rejected.size());
        }
        const auto read = decodeConfiguration(R"({"version":3,"routes":[],"limits":7})");
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, std::get<ConfigurationRecord>(read).rejected.size());
    }

    void configuration_oddVersionOrRoutes_rejected()
    {
        for (const char *it : { R"({"version":0,"routes":[],"limits":{}})",
                                R"({"version":-1,"routes":[],"limits":{}})",
                                R"({"version":1e300,"routes":[],"limits":{}})",
                                R"({"version":3,"routes":{},"limits":{}})",
                                R"({"version":"3","routes":[],"limits":{}})",
                                R"({"version":3,"limits":{}})" }) {
            CPPUNIT_ASSERT_MESSAGE(it, !isOk(decodeConfiguration(it)));
        }
    }

    void listing_oddItems_othersRead()
    {
        const auto read = decodeNewest(R"({"end":9,"truncated":true,"items":[7,null,{},{"key":7,"value":"eA=="},
            {"key":"a","value":7},{"key":"b","value":"not base64!"},{"key":"c","value":"eA=="},{"key":"d"}]})");
        const auto &page = std::get<NewestPage>(read);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, page.records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), page.records[0].key);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 7 }, page.rejected.size());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("reading goes on after it", std::string("d"), page.lastKey);
    }

    void listing_keyNotUtf8_rejectedOthersRead()
    {
        const auto read = decodeNewest(QByteArray(R"({"end":9,"items":[{"key":")") + "\xff\xfe"
                                       + R"(","value":"eA=="},{"key":"c","value":"eA=="}]})");
        const auto &page = std::get<NewestPage>(read);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, page.records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("c"), page.records[0].key);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("not under a changed key", std::size_t { 1 }, page.rejected.size());
    }

    void listing_keyWithReplacementCharacter_read()
    {
        const auto read = decodeNewest("{\"end\":9,\"items\":[{\"key\":\"\xef\xbf\xbd\",\"value\":\"eA==\"}]}");
        CPPUNIT_ASSERT_EQUAL(std::string("\xef\xbf\xbd"), std::get<NewestPage>(read).records.at(0).key);
    }

    void page_recordWithoutKey_othersRead()
    {
        // Without content, and with a key that is longer than the content.
        const QByteArray odd = QByteArray("\0\0\0\0", 4) + QByteArray("\0\0\0\x02\xffx", 6);
        const auto read = decodeRecords(QByteArray(16, '\0') + odd + encodeRecord({ "key", QByteArray("value") }), 5);
        const auto &page = std::get<RecordPage>(read);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, page.rejected.size());
        CPPUNIT_ASSERT_EQUAL(std::string("key"), page.records.at(0).key);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 8 }, page.next);
    }

    void report_numbersOutOfRange_rejected()
    {
        CPPUNIT_ASSERT(isOk(decodeReport(R"({"running":[],"finished":[[1,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})")));
        for (const char *it : { "1e300", "-1", "0.5", "\"1\"", "null", "[]" }) {
            const std::string report =
                std::string(R"({"running":[],"finished":[[)") + it + R"(,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";
            CPPUNIT_ASSERT_MESSAGE(it, !isOk(decodeReport(report)));
        }
        const auto read = decodeReport(R"({"running":[["5c0e7a21d94b36f8.0.1.9",4294967297,"",1]],"finished":[]})");
        CPPUNIT_ASSERT_MESSAGE("no run of ours", std::get<TargetReport>(read).running.empty());
    }

    void order_clockOutOfRange_noClock()
    {
        for (const char *it : { "1e300", "-1", "0.5", "null", "\"5\"" }) {
            const std::string body = std::string("{\"clock-ms\":") + it + "}";
            CPPUNIT_ASSERT_MESSAGE(it, !decodeOrderResult({ CallEnd::Answered, 200, body, "" }).hasClock);
        }
    }

private:
    QByteArray replaced(const QByteArray &before, const QByteArray &after) const
    {
        QByteArray entry = kTarget;
        CPPUNIT_ASSERT(entry.contains(before));
        return entry.replace(before, after);
    }

    static void assertRejected(const QByteArray &entry, const std::string &what)
    {
        const auto read = decodeTarget("i-1", entry);
        CPPUNIT_ASSERT_MESSAGE(what, !isOk(read));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string("i-1"), std::get<Error>(read).peer);
        CPPUNIT_ASSERT_MESSAGE(what, !std::get<Error>(read).detail.empty());
    }

    const QByteArray kTarget = R"({"service":"huvo","addr":"10.128.0.9:8080","zone":"z","version":"v1","slots":8,
        "state":"ready","cold-left-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},"labels":["a","r1-3"],
        "clock-ms":482113,"sequence":4,"born":1700000000123})";
    const QByteArray kInstance = R"({"zone":"z","address":"10.0.0.1","port":7720,"milli-cores":250,"link-kbps":1000})";
    const QByteArray kRoute = R"({"name":"r","host":"h","path-prefix":"/a/","service":"s"})";
    const std::vector<QJsonValue> kOddValues { QJsonValue(),     true,         -1, 0.5, 1e300, QString(), QJsonArray(),
                                               QJsonArray { 7 }, QJsonObject() };
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddEntriesTest);

} // namespace Eelgrasscleat::PlatformAdapter
