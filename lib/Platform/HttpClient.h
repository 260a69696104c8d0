/// @file
/// Sends one HTTP request to the platform and reports its answer or a typed error.
#pragma once

#include <eelgrasscleat/Platform/LogService.h>

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

#include <functional>

namespace Eelgrasscleat
{

/// HTTP client of one platform address. Its callbacks run on the thread of its event loop, and not after its end.
class HttpClient
{
public:
    using Callback = std::function<void(Result<QByteArray>)>;

    explicit HttpClient(const PlatformAddress &platform);

    /// Fetches @p path. @param step where errors are said to arise
    void get(const QString &path, Step step, Callback done);
    /// Posts @p body to @p path. QNetworkAccessManager may send it more than once by itself, so no error of it proves
    /// that nothing was written: all of them are TimedOut or Lost.
    void post(const QString &path, const QByteArray &body, Step step, Callback done);

    /// @returns address and port, for errors.
    [[nodiscard]] const std::string &peer() const;

private:
    QNetworkRequest request(const QString &path) const;
    void report(QNetworkReply *reply, Step step, bool isWrite, const Callback &done) const;

    PlatformAddress m_platform;
    std::string m_peer;
    QNetworkAccessManager m_manager;
};

} // namespace Eelgrasscleat
