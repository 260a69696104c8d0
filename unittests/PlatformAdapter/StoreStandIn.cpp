/// @file
/// The stand-in's topics.
#include "StoreStandIn.h"

#include <eelgrasscleat/Wire/QtText.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>
#include <QUrlQuery>
#include <QtEndian>

#include <utility>

namespace Eelgrasscleat::PlatformAdapter
{

StoreStandIn::StoreStandIn()
    : m_server(*this, HttpServerLimits())
{
    port = std::get<std::uint16_t>(m_server.listen("127.0.0.1", 0));
}

void StoreStandIn::write(const std::string &topic, const KeyedRecord &record)
{
    Topic &entry = m_topics[topic];
    entry.records.push_back(record);
    if (record.value) {
        entry.newest[record.key] = *record.value;
    } else {
        entry.newest.erase(record.key);
    }
    for (const Waiting &it : std::exchange(m_waiting, {})) {
        answerRead(it.id, it.topic, it.from);
    }
}

void StoreStandIn::forget(const std::string &topic)
{
    Topic &entry = m_topics[topic];
    entry.first += entry.records.size();
    entry.records.clear();
}

void StoreStandIn::answerRead(CallerId id, const std::string &topic, std::uint64_t from)
{
    const Topic &entry = m_topics[topic];
    const std::uint64_t end = entry.first + entry.records.size();
    if (from < entry.first) {
        m_server.respond(id, { 410, R"({"first":0})", "application/json", 0 });
        return;
    }
    if (from >= end) {
        m_waiting.push_back({ id, topic, from });
        return;
    }
    QByteArray body(16, '\0');
    qToBigEndian<quint64>(end, body.data());
    qToBigEndian<quint64>(entry.first, body.data() + 8);
    for (std::uint64_t i = from; i < end; ++i) {
        body += encodeRecord(entry.records[i - entry.first]);
    }
    m_server.respond(id, { 200, body.toStdString(), "application/octet-stream", 0 });
}

void StoreStandIn::answerNewest(CallerId id, const std::string &topic, const std::string &after)
{
    ++lists;
    const Topic &entry = m_topics[topic];
    QJsonArray items;
    auto it = after.empty() || ignoresAfter ? entry.newest.begin() : entry.newest.upper_bound(after);
    for (std::size_t n = 0; it != entry.newest.end() && n < itemsOfPage; ++it, ++n) {
        items.append(QJsonObject { { QStringLiteral("key"), toQString(it->first) },
                                   { QStringLiteral("value"), QString::fromLatin1(it->second.toBase64()) },
                                   { QStringLiteral("offset"), 0 } });
    }
    const QJsonObject body { { QStringLiteral("items"), items },
                             { QStringLiteral("truncated"), it != entry.newest.end() },
                             { QStringLiteral("end"), static_cast<qint64>(entry.first + entry.records.size()) } };
    m_server.respond(id, { 200, QJsonDocument(body).toJson().toStdString(), "application/json", 0 });
}

void StoreStandIn::requestReceived(HttpRequest request)
{
    if (silent) {
        return;
    }
    if (refuses) {
        m_server.respond(request.id, { 503, "{}", "application/json", 0 });
        return;
    }
    const QUrl url(QString::fromStdString(request.target));
    const QUrlQuery query(url);
    const std::string topic = query.queryItemValue(QStringLiteral("topic")).toStdString();
    if (url.path() == QStringLiteral("/-/log-read")) {
        answerRead(request.id, topic, query.queryItemValue(QStringLiteral("from")).toULongLong());
    } else if (url.path() == QStringLiteral("/-/log-newest")) {
        // From the raw request: QUrl would change a key on the way.
        const auto after = request.target.find("&after=");
        answerNewest(request.id,
                     topic,
                     after == std::string::npos
                         ? std::string()
                         : QByteArray::fromPercentEncoding(QByteArray::fromStdString(request.target.substr(after + 7)))
                               .toStdString());
    } else if (url.path() == QStringLiteral("/-/log-append")) {
        const auto page = decodeRecords(QByteArray(16, '\0') + QByteArray::fromStdString(request.body), 0);
        for (const KeyedRecord &it : std::get<RecordPage>(page).records) {
            write(topic, it);
        }
        m_server.respond(request.id, { 200, R"({"offset":0,"end":1})", "application/json", 0 });
    } else {
        groupCalls.push_back(request.body);
        m_server.respond(request.id, { 200, groupAnswer, "application/json", 0 });
    }
}

void StoreStandIn::callerGone(CallerId id)
{
    std::erase_if(m_waiting, [id](const Waiting &it) { return it.id == id; });
}

void StoreStandIn::refused(HttpRefusal, const std::string &)
{
}

} // namespace Eelgrasscleat::PlatformAdapter
