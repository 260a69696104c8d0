/// @file
/// Maps a TOML document onto a schema message. The rules (unit, default, range, required) come from field options.
#include <eelgrasscleat/Support/Schema.h>
#include <eelgrasscleat/Support/Settings.h>

#include <options.pb.h>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>
#include <toml++/toml.h>

#include <cassert>
#include <charconv>
#include <optional>
#include <sstream>

namespace Eelgrasscleat
{

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

/// Place in the file that an error is about.
struct SettingPlace
{
    std::string file;
    std::string key;
    std::uint32_t line = 0;
};

static Error settingError(const SettingPlace &place, const std::string &found, const std::string &expected)
{
    std::string where = place.file;
    if (place.line != 0) {
        where += ":" + std::to_string(place.line);
    }
    return Error { ErrorCode::Invalid,
                   Step::ReadSettings,
                   where,
                   "key '" + place.key + "': found " + found + ", expected " + expected };
}

static const schema::SettingRule &ruleOf(const FieldDescriptor &field)
{
    return field.options().GetExtension(schema::setting);
}

static std::string numberText(double number)
{
    std::ostringstream out;
    out << number;
    return out.str();
}

static std::string expectedText(const FieldDescriptor &field)
{
    const auto &rule = ruleOf(field);
    std::string text;
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        return "a string";
    case FieldDescriptor::CPPTYPE_BOOL:
        return "true or false";
    case FieldDescriptor::CPPTYPE_DOUBLE:
        text = "a number";
        break;
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return field.is_repeated() ? "an array of tables" : "a table";
    default:
        text = "a whole number";
        break;
    }
    if (rule.min() != 0 || rule.max() != 0) {
        text += " from " + numberText(rule.min()) + " to " + numberText(rule.max());
    }
    if (!rule.unit().empty()) {
        text += " (" + rule.unit() + ")";
    }
    return text;
}

static std::string foundText(const toml::node &node)
{
    std::ostringstream out;
    if (const auto *text = node.as_string()) {
        out << '"' << text->get() << '"';
    } else if (const auto *number = node.as_integer()) {
        out << number->get();
    } else if (const auto *real = node.as_floating_point()) {
        out << real->get();
    } else if (const auto *flag = node.as_boolean()) {
        out << (flag->get() ? "true" : "false");
    } else {
        out << "a value of type " << node.type();
    }
    return out.str();
}

static bool inRange(const schema::SettingRule &rule, double number)
{
    if (rule.min() == 0 && rule.max() == 0) {
        return true;
    }
    return number >= rule.min() && number <= rule.max();
}

static std::optional<Error>
assignScalar(const toml::node &node, const FieldDescriptor &field, Message &message, const SettingPlace &place)
{
    const Reflection *reflection = message.GetReflection();
    const auto mismatch = [&] { return settingError(place, foundText(node), expectedText(field)); };
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING: {
        const auto *text = node.as_string();
        if (text == nullptr || (ruleOf(field).required() && text->get().empty())) {
            return mismatch();
        }
        reflection->SetString(&message, &field, text->get());
        return std::nullopt;
    }
    case FieldDescriptor::CPPTYPE_BOOL: {
        const auto *flag = node.as_boolean();
        if (flag == nullptr) {
            return mismatch();
        }
        reflection->SetBool(&message, &field, flag->get());
        return std::nullopt;
    }
    case FieldDescriptor::CPPTYPE_DOUBLE: {
        const auto number = node.value<double>();
        if (!node.is_number() || !inRange(ruleOf(field), *number)) {
            return mismatch();
        }
        reflection->SetDouble(&message, &field, *number);
        return std::nullopt;
    }
    case FieldDescriptor::CPPTYPE_UINT32: {
        const auto *number = node.as_integer();
        if (number == nullptr || number->get() < 0 || number->get() > UINT32_MAX
            || !inRange(ruleOf(field), static_cast<double>(number->get()))) {
            return mismatch();
        }
        reflection->SetUInt32(&message, &field, static_cast<std::uint32_t>(number->get()));
        return std::nullopt;
    }
    default:
        assert(false && "a settings message uses only strings, booleans, doubles, uint32 and messages");
        return mismatch();
    }
}

static void assignDefault(const FieldDescriptor &field, Message &message)
{
    const std::string &text = ruleOf(field).default_value();
    if (text.empty()) {
        return;
    }
    const Reflection *reflection = message.GetReflection();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        reflection->SetString(&message, &field, text);
        return;
    case FieldDescriptor::CPPTYPE_BOOL:
        reflection->SetBool(&message, &field, text == "true");
        return;
    case FieldDescriptor::CPPTYPE_DOUBLE: {
        double number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        reflection->SetDouble(&message, &field, number);
        return;
    }
    case FieldDescriptor::CPPTYPE_UINT32: {
        std::uint32_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        reflection->SetUInt32(&message, &field, number);
        return;
    }
    default:
        assert(false && "only scalar settings have defaults");
    }
}

static std::optional<Error> readTable(const toml::table &table, Message &message, const SettingPlace &place);

static std::optional<Error>
readTables(const toml::node &node, const FieldDescriptor &field, Message &message, const SettingPlace &place)
{
    const auto *array = node.as_array();
    if (array == nullptr) {
        return settingError(place, foundText(node), expectedText(field));
    }
    std::size_t index = 0;
    for (const auto &it : *array) {
        SettingPlace inner = place;
        inner.key += "[" + std::to_string(index) + "]";
        inner.line = it.source().begin.line;
        const auto *table = it.as_table();
        if (table == nullptr) {
            return settingError(inner, foundText(it), "a table");
        }
        Message *added = message.GetReflection()->AddMessage(&message, &field);
        if (auto error = readTable(*table, *added, inner)) {
            return error;
        }
        ++index;
    }
    return std::nullopt;
}

static std::optional<Error>
readField(const toml::node *node, const FieldDescriptor &field, Message &message, const SettingPlace &place)
{
    const bool isMessage = field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE;
    if (isMessage && field.is_repeated()) {
        return node == nullptr ? std::nullopt : readTables(*node, field, message, place);
    }
    if (isMessage) {
        // A missing table still gets the defaults of its keys, and its required keys are still missing.
        static const toml::table empty;
        const auto *table = node == nullptr ? &empty : node->as_table();
        if (table == nullptr) {
            return settingError(place, foundText(*node), expectedText(field));
        }
        return readTable(*table, *message.GetReflection()->MutableMessage(&message, &field), place);
    }
    if (node != nullptr) {
        return assignScalar(*node, field, message, place);
    }
    if (ruleOf(field).required()) {
        return settingError(place, "nothing", expectedText(field));
    }
    assignDefault(field, message);
    return std::nullopt;
}

static std::string joinKey(const std::string &table, std::string_view key)
{
    std::string joined = table;
    if (!joined.empty()) {
        joined += '.';
    }
    joined += key;
    return joined;
}

static std::optional<Error> readTable(const toml::table &table, Message &message, const SettingPlace &place)
{
    const auto *descriptor = message.GetDescriptor();
    for (const auto &[key, node] : table) {
        if (descriptor->FindFieldByName(std::string(key.str())) != nullptr) {
            continue;
        }
        const SettingPlace unknown { place.file, joinKey(place.key, key.str()), key.source().begin.line };
        return settingError(unknown, "an unknown key", "one of the keys that --print-settings lists");
    }
    for (int i = 0; i < descriptor->field_count(); ++i) {
        const auto &field = *descriptor->field(i);
        const auto *node = table.get(field.name());
        SettingPlace inner { place.file, joinKey(place.key, field.name()), place.line };
        if (node != nullptr) {
            inner.line = node->source().begin.line;
        }
        if (auto error = readField(node, field, message, inner)) {
            return error;
        }
    }
    return std::nullopt;
}

Result<Done> readSettings(const std::string &path, Message &settings)
{
    toml::table table;
    try {
        table = toml::parse_file(path);
    } catch (const toml::parse_error &error) {
        const auto line = error.source().begin.line;
        return Error { ErrorCode::Invalid,
                       Step::ReadSettings,
                       path + (line == 0 ? std::string() : ":" + std::to_string(line)),
                       std::string(error.description()) };
    }
    settings.Clear();
    if (auto error = readTable(table, settings, SettingPlace { path, "", 0 })) {
        return *error;
    }
    return Done {};
}

/// Writes a message's settings as TOML, with the file's own table beside it to tell sources apart.
class SettingsPrinter
{
public:
    std::string take()
    {
        return m_out.str();
    }

    void printTable(const Message &message, const toml::table *file, const std::string &prefix)
    {
        const auto *descriptor = message.GetDescriptor();
        for (int i = 0; i < descriptor->field_count(); ++i) {
            const auto &field = *descriptor->field(i);
            if (field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
                printScalar(message, field, file != nullptr && file->contains(field.name()));
            }
        }
        for (int i = 0; i < descriptor->field_count(); ++i) {
            const auto &field = *descriptor->field(i);
            if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
                printNested(message, field, file, joinKey(prefix, field.name()));
            }
        }
    }

private:
    void
    printNested(const Message &message, const FieldDescriptor &field, const toml::table *file, const std::string &key)
    {
        const auto *reflection = message.GetReflection();
        if (!field.is_repeated()) {
            const auto *inner = file == nullptr ? nullptr : (*file)[field.name()].as_table();
            m_out << "\n[" << key << "]\n";
            printTable(reflection->GetMessage(message, &field), inner, key);
            return;
        }
        for (int i = 0; i < reflection->FieldSize(message, &field); ++i) {
            const auto *inner = file == nullptr ? nullptr : (*file)[field.name()][i].as_table();
            m_out << "\n[[" << key << "]]\n";
            printTable(reflection->GetRepeatedMessage(message, &field, i), inner, key);
        }
    }

    void printScalar(const Message &message, const FieldDescriptor &field, bool fromFile)
    {
        const auto *reflection = message.GetReflection();
        const auto &rule = ruleOf(field);
        m_out << field.name() << " = ";
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_STRING:
            m_out << toml::value<std::string>(reflection->GetString(message, &field));
            break;
        case FieldDescriptor::CPPTYPE_BOOL:
            m_out << (reflection->GetBool(message, &field) ? "true" : "false");
            break;
        case FieldDescriptor::CPPTYPE_DOUBLE:
            m_out << toml::value<double>(reflection->GetDouble(message, &field));
            break;
        default:
            m_out << reflection->GetUInt32(message, &field);
            break;
        }
        m_out << "  # " << (fromFile ? "file" : "default");
        if (!rule.unit().empty()) {
            m_out << ", " << rule.unit();
        }
        m_out << ": " << rule.doc() << '\n';
    }

    std::ostringstream m_out;
};

std::string printSettings(const std::string &path, const Message &settings)
{
    toml::table table;
    try {
        table = toml::parse_file(path);
    } catch (const toml::parse_error &) {
        // readSettings() has reported it already; without the file every value shows as a default.
        table.clear();
    }
    SettingsPrinter printer;
    printer.printTable(settings, &table, "");
    return printer.take();
}

} // namespace Eelgrasscleat
