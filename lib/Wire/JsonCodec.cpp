/// @file
/// JSON through protobuf's own mapping.
#include <eelgrasscleat/Wire/JsonCodec.h>

#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>

namespace Eelgrasscleat
{

std::string toJson(const google::protobuf::Message &message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = true;
    std::string json;
    const auto status = google::protobuf::util::MessageToJsonString(message, &json, options);
    // A message of ours holds no Any and no invalid UTF-8: strings are checked when they are read.
    return status.ok() ? json : "{}";
}

std::size_t countCommas(std::string_view json)
{
    std::size_t commas = 0;
    bool isText = false;
    for (std::size_t i = 0; i < json.size(); ++i) {
        if (isText && json[i] == '\\') {
            ++i; // Whatever is escaped ends no text.
        } else if (json[i] == '"') {
            isText = !isText;
        } else if (!isText && json[i] == ',') {
            ++commas;
        }
    }
    return commas;
}

Result<Done> fromJson(const std::string &json, google::protobuf::Message &message)
{
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = false;
    const auto status = google::protobuf::util::JsonStringToMessage(json, &message, options);
    if (!status.ok()) {
        return Error { ErrorCode::Invalid, Step::ReadRequest, "", std::string(status.message()) };
    }
    return Done {};
}

} // namespace Eelgrasscleat
