/// @file
/// Lines of a header in one text.
#include <eelgrasscleat/Wire/HeaderFields.h>

#include <boost/beast/core/string.hpp>

namespace Eelgrasscleat
{

void HeaderFields::add(std::string_view name, std::string_view value)
{
    m_text += name;
    m_text += value;
    m_lines.push_back({ static_cast<std::uint32_t>(name.size()), static_cast<std::uint32_t>(value.size()) });
}

std::string_view HeaderFields::value(std::string_view name) const
{
    const std::string_view text(m_text);
    std::size_t at = 0;
    for (const Line &it : m_lines) {
        const std::string_view own = text.substr(at, it.nameBytes);
        if (boost::beast::iequals({ own.data(), own.size() }, { name.data(), name.size() })) {
            return text.substr(at + it.nameBytes, it.valueBytes);
        }
        at += it.nameBytes + it.valueBytes;
    }
    return {};
}

std::size_t HeaderFields::size() const
{
    return m_lines.size();
}

std::size_t HeaderFields::heldBytes() const
{
    return m_text.capacity() + m_lines.capacity() * sizeof(Line);
}

} // namespace Eelgrasscleat
