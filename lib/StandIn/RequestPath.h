/// @file
/// Path and query of a request, split.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Eelgrasscleat
{

/// A request's target, for example "/v1/streams/config/records?from=3".
class RequestPath
{
public:
    explicit RequestPath(std::string_view target);

    /// @returns whether the path has these parts; "*" stands for any one part.
    [[nodiscard]] bool matches(std::initializer_list<std::string_view> parts) const;
    /// @returns a part of the path, counted from 0.
    [[nodiscard]] const std::string &part(std::size_t index) const;
    /// @returns the value of a key of the query, or @p otherwise.
    [[nodiscard]] std::string value(const std::string &key, const std::string &otherwise) const;
    /// @returns the same as a number; @p otherwise also when it is no number.
    [[nodiscard]] std::uint64_t number(const std::string &key, std::uint64_t otherwise) const;

private:
    std::vector<std::string> m_parts;
    std::map<std::string, std::string> m_query;
};

} // namespace Eelgrasscleat
