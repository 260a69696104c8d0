/// @file
/// Splits the target of a request with Qt's URL classes.
#include "RequestPath.h"

#include <QUrl>
#include <QUrlQuery>

#include <cassert>
#include <charconv>

namespace Eelgrasscleat
{

RequestPath::RequestPath(std::string_view target)
{
    const QUrl url(QString::fromUtf8(target.data(), static_cast<qsizetype>(target.size())));
    for (const QString &it : url.path(QUrl::FullyDecoded).split(u'/', Qt::SkipEmptyParts)) {
        m_parts.push_back(it.toStdString());
    }
    for (const auto &[key, text] : QUrlQuery(url).queryItems(QUrl::FullyDecoded)) {
        m_query[key.toStdString()] = text.toStdString();
    }
}

bool RequestPath::matches(std::initializer_list<std::string_view> parts) const
{
    if (parts.size() != m_parts.size()) {
        return false;
    }
    std::size_t index = 0;
    for (const std::string_view it : parts) {
        if (it != "*" && it != m_parts[index]) {
            return false;
        }
        ++index;
    }
    return true;
}

const std::string &RequestPath::part(std::size_t index) const
{
    assert(index < m_parts.size() && "the path was matched before");
    return m_parts[index];
}

std::string RequestPath::value(const std::string &key, const std::string &otherwise) const
{
    const auto it = m_query.find(key);
    return it == m_query.end() ? otherwise : it->second;
}

std::uint64_t RequestPath::number(const std::string &key, std::uint64_t otherwise) const
{
    const std::string text = value(key, "");
    std::uint64_t n = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    return ec == std::errc() && end == text.data() + text.size() ? n : otherwise;
}

} // namespace Eelgrasscleat
