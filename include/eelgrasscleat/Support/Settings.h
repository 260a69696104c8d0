/// @file
/// Reads a TOML settings file into a schema message by reflection, checking each key against its field options.
#pragma once

#include <eelgrasscleat/Support/Error.h>

#include <string>

namespace google::protobuf
{
class Message;
} // namespace google::protobuf

namespace Eelgrasscleat
{

/// Fills @p settings from the file at @p path; fields that the file lacks get their defaults.
/// @param path TOML file
/// @param settings message of schema/settings.proto, with rules in its field options
/// @returns nothing, or an error that names file, line, key, value found and value expected.
Result<Done> readSettings(const std::string &path, google::protobuf::Message &settings);

/// @returns all settings as TOML with a comment that gives each one's source (file or default), unit and meaning.
std::string printSettings(const std::string &path, const google::protobuf::Message &settings);

} // namespace Eelgrasscleat
