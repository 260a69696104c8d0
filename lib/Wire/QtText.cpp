/// @file
/// Conversion of texts by Qt's codecs.
#include <eelgrasscleat/Wire/QtText.h>

#include <QStringDecoder>

#include <cassert>

namespace Eelgrasscleat
{

QString toQString(std::string_view utf8)
{
    QStringDecoder decoder(QStringDecoder::Utf8,
                           QStringDecoder::Flag::Stateless | QStringDecoder::Flag::ConvertInitialBom);
    QString text = decoder(QByteArrayView(utf8.data(), static_cast<qsizetype>(utf8.size())));
    assert(!decoder.hasError() && "text from outside is checked when it is read");
    return text;
}

std::optional<std::string> toUtf8(const QString &text)
{
    return text.isValidUtf16() ? std::optional(text.toStdString()) : std::nullopt;
}

} // namespace Eelgrasscleat
