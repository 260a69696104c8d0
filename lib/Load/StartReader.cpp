/// @file
/// Pages through /v1/starts of each target.
#include "StartReader.h"

#include <eelgrasscleat/Wire/JsonCodec.h>

#include <QTimer>

#include <utility>

namespace Eelgrasscleat
{

/// Records of one page.
static constexpr unsigned PageStarts = 20000;

StartReader::StartReader(const std::vector<Endpoint> &targets, std::function<void(const schema::StartRecord &)> record)
    : m_targets(targets)
    , m_record(std::move(record))
{
}

void StartReader::start(std::function<void(std::optional<Error>)> done)
{
    m_done = std::move(done);
    readPage();
}

void StartReader::readPage()
{
    if (m_current == m_targets.size()) {
        m_done(std::nullopt);
        return;
    }
    const Endpoint &target = m_targets[m_current];
    if (!m_client) {
        m_client = std::make_unique<HttpClient>(target.address, target.port, 1);
    }
    HttpCall call;
    call.method = "GET";
    call.target = "/v1/starts?from=" + std::to_string(m_next) + "&max=" + std::to_string(PageStarts);
    m_client->call(std::move(call), [this](const CallResult &result) { pageRead(result); });
}

void StartReader::pageRead(const CallResult &result)
{
    const Endpoint &target = m_targets[m_current];
    schema::StartLog log;
    if (result.end != CallEnd::Answered || !isOk(fromJson(result.body, log))) {
        m_done(Error { ErrorCode::Unavailable,
                       Step::ReadRecords,
                       target.address + ':' + std::to_string(target.port),
                       "its starts can't be read: " + result.detail });
        return;
    }
    for (const schema::StartRecord &it : log.starts()) {
        m_record(it);
    }
    m_next = log.next();
    if (m_next < log.received()) {
        readPage();
        return;
    }
    ++m_current;
    m_next = 0;
    // Not from here: this runs inside a call of the client that is replaced.
    QTimer::singleShot(0, [this] {
        m_client.reset();
        readPage();
    });
}

} // namespace Eelgrasscleat
