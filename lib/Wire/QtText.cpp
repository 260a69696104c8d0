/// @file
/// Conversion of texts by Qt's codecs.
#include <eelgrasscleat/Wire/QtText.h>

#include <QStringDecoder>

namespace Eelgrasscleat
{

QString toQString(std::string_view utf8)
{
    QStringDecoder decoder(QStringDecoder::Utf8,
                           QStringDecoder::Flag::Stateless | QStringDecoder::Flag::ConvertInitialBom);
    return decoder(QByteArrayView(utf8.data(), static_cast<qsizetype>(utf8.size())));
}

std::optional<std::string> toUtf8(const QString &text)
{
    return text.isValidUtf16() ? std::optional(text.toStdString()) : std::nullopt;
}

} // namespace Eelgrasscleat
