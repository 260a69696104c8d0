/// @file
/// Schema messages as JSON, with the field names of the schema. Unknown fields are errors.
#pragma once

#include <eelgrasscleat/Support/Error.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace google::protobuf
{
class Message;
} // namespace google::protobuf

namespace Eelgrasscleat
{

/// @returns the message as one line of JSON, fields with default values included.
std::string toJson(const google::protobuf::Message &message);

/// @returns the number of commas in @p json outside of its texts: a bound on its values that is known before any memory
/// is taken for them.
std::size_t countCommas(std::string_view json);

/// Fills @p message from JSON.
/// @returns nothing, or an error with step ReadRequest that says what is wrong and where.
Result<Done> fromJson(const std::string &json, google::protobuf::Message &message);

} // namespace Eelgrasscleat
