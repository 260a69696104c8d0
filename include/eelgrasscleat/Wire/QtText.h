/// @file
/// Conversion between UTF-8 and Qt's texts in which nothing is lost. Qt's own functions drop a byte order mark at the
/// beginning of a text (QString::fromStdString) and replace unpaired surrogates (QString::toStdString).
#pragma once

#include <QString>

#include <optional>
#include <string>
#include <string_view>

namespace Eelgrasscleat
{

/// @param utf8 text that was checked when it was read; what is no valid UTF-8 becomes U+FFFD
/// @returns the same characters, also a byte order mark at the beginning
QString toQString(std::string_view utf8);

/// @returns the same characters in UTF-8, or nothing if @p text holds an unpaired surrogate, for which UTF-8 has no
/// bytes
std::optional<std::string> toUtf8(const QString &text);

} // namespace Eelgrasscleat
