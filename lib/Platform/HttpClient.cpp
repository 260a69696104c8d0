/// @file
/// HTTP requests over QNetworkAccessManager.
#include "HttpClient.h"

#include <QNetworkProxy>

namespace Eelgrasscleat
{

namespace
{

constexpr int HttpOk = 200;
/// Largest answer that is read; a page of records is far below it.
constexpr qint64 MaxAnswerBytes = 64LL * 1024 * 1024;

ErrorCode readErrorCode(QNetworkReply::NetworkError error)
{
    // A transfer that takes too long is aborted by the network access manager.
    return error == QNetworkReply::OperationCanceledError ? ErrorCode::TimedOut : ErrorCode::Unavailable;
}

ErrorCode writeErrorCode(QNetworkReply::NetworkError error)
{
    return error == QNetworkReply::OperationCanceledError ? ErrorCode::TimedOut : ErrorCode::Lost;
}

} // namespace

HttpClient::HttpClient(const PlatformAddress &platform)
    : m_platform(platform)
    , m_peer(platform.address + ":" + std::to_string(platform.port))
{
    m_manager.setProxy(QNetworkProxy::NoProxy);
    m_manager.setRedirectPolicy(QNetworkRequest::ManualRedirectPolicy);
}

void HttpClient::get(const QString &path, Step step, Callback done)
{
    QNetworkReply *reply = m_manager.get(request(path));
    QObject::connect(reply, &QNetworkReply::finished, &m_manager, [this, reply, step, done = std::move(done)] {
        report(reply, step, false, done);
    });
}

void HttpClient::post(const QString &path, const QByteArray &body, Step step, Callback done)
{
    QNetworkRequest post = request(path);
    post.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/octet-stream"));
    QNetworkReply *reply = m_manager.post(post, body);
    QObject::connect(reply, &QNetworkReply::finished, &m_manager, [this, reply, step, done = std::move(done)] {
        report(reply, step, true, done);
    });
}

const std::string &HttpClient::peer() const
{
    return m_peer;
}

QNetworkRequest HttpClient::request(const QString &path) const
{
    QNetworkRequest request(QUrl(QStringLiteral("http://") + QString::fromStdString(m_peer) + path));
    request.setTransferTimeout(static_cast<int>(m_platform.timeout.count()));
    return request;
}

void HttpClient::report(QNetworkReply *reply, Step step, bool isWrite, const Callback &done) const
{
    reply->deleteLater();
    const int status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    const QNetworkReply::NetworkError error = reply->error();
    if (error == QNetworkReply::NoError && status == HttpOk && reply->bytesAvailable() <= MaxAnswerBytes) {
        done(reply->readAll());
        return;
    }
    const ErrorCode code = isWrite ? writeErrorCode(error) : readErrorCode(error);
    std::string detail = "HTTP status " + std::to_string(status);
    if (error != QNetworkReply::NoError) {
        detail += ", " + reply->errorString().toStdString();
    }
    done(Error { .code = code, .step = step, .peer = m_peer, .detail = std::move(detail) });
}

} // namespace Eelgrasscleat
