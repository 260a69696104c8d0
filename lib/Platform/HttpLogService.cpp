/// @file
/// The platform's log service and instance list over HTTP with JSON answers.
#include <eelgrasscleat/Platform/LogService.h>

#include "HttpClient.h"

#include <google/protobuf/util/json_util.h>

#include <array>

namespace Eelgrasscleat
{

namespace
{

constexpr std::array<const char *, 3> StreamNames { "config", "claims", "incarnations" };

/// @returns the answer as a message, or an error with @p code if it can't be read as one.
template <typename Answer>
Result<Answer> parseAnswer(const Result<QByteArray> &body, ErrorCode code, Step step, const std::string &peer)
{
    if (!isOk(body)) {
        return std::get<Error>(body);
    }
    const std::string text = std::get<QByteArray>(body).toStdString();
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    Answer answer;
    const auto status = google::protobuf::util::JsonStringToMessage(text, &answer, options);
    if (!status.ok()) {
        return Error { .code = code, .step = step, .peer = peer, .detail = "the answer is not understood" };
    }
    return answer;
}

QString recordsPath(LogStream stream)
{
    return QStringLiteral("/v1/streams/") + QString::fromStdString(logStreamName(stream)) + QStringLiteral("/records");
}

class HttpLogService : public LogService
{
public:
    explicit HttpLogService(const PlatformAddress &platform)
        : m_client(platform)
    {
    }

    void append(LogStream stream, const std::string &record, std::function<void(Result<std::uint64_t>)> done) override
    {
        const QByteArray body = QByteArray::fromStdString(record);
        const auto report = [this, done = std::move(done)](const Result<QByteArray> &answer) {
            // An answer that can't be read leaves open whether the record was written.
            const auto parsed =
                parseAnswer<schema::AppendAnswer>(answer, ErrorCode::Lost, Step::AppendRecord, m_client.peer());
            if (!isOk(parsed)) {
                done(std::get<Error>(parsed));
                return;
            }
            done(std::get<schema::AppendAnswer>(parsed).offset());
        };
        m_client.post(recordsPath(stream), body, Step::AppendRecord, report);
    }

    void read(LogStream stream, std::uint64_t from, std::function<void(Result<schema::RecordPage>)> done) override
    {
        const QString path = recordsPath(stream) + QStringLiteral("?from=") + QString::number(from);
        const auto report = [this, done = std::move(done)](const Result<QByteArray> &answer) {
            done(parseAnswer<schema::RecordPage>(answer, ErrorCode::Invalid, Step::ReadRecords, m_client.peer()));
        };
        m_client.get(path, Step::ReadRecords, report);
    }

private:
    HttpClient m_client;
};

class HttpInstanceList : public InstanceList
{
public:
    explicit HttpInstanceList(const PlatformAddress &platform)
        : m_client(platform)
    {
    }

    void fetch(std::function<void(Result<schema::InstanceListAnswer>)> done) override
    {
        const auto report = [this, done = std::move(done)](const Result<QByteArray> &answer) {
            done(parseAnswer<schema::InstanceListAnswer>(
                answer, ErrorCode::Invalid, Step::ReadInstanceList, m_client.peer()));
        };
        m_client.get(QStringLiteral("/v1/instances"), Step::ReadInstanceList, report);
    }

private:
    HttpClient m_client;
};

} // namespace

std::string logStreamName(LogStream stream)
{
    return StreamNames.at(static_cast<std::size_t>(stream));
}

std::unique_ptr<LogService> makeHttpLogService(const PlatformAddress &platform)
{
    return std::make_unique<HttpLogService>(platform);
}

std::unique_ptr<InstanceList> makeHttpInstanceList(const PlatformAddress &platform)
{
    return std::make_unique<HttpInstanceList>(platform);
}

} // namespace Eelgrasscleat
