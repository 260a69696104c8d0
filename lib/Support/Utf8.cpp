/// @file
/// UTF-8 by RFC 3629: no overlong forms, no surrogates, nothing above U+10FFFF.
#include <eelgrasscleat/Support/Utf8.h>

#include <algorithm>

namespace Eelgrasscleat
{

namespace
{

/// The valid second bytes that follow a range of first bytes; all further bytes are continuation bytes.
struct SequenceForm
{
    unsigned char firstLow;
    unsigned char firstHigh;
    unsigned char secondLow;
    unsigned char secondHigh;
    std::size_t length;
};

constexpr SequenceForm kForms[] = {
    { 0xC2, 0xDF, 0x80, 0xBF, 2 }, { 0xE0, 0xE0, 0xA0, 0xBF, 3 }, { 0xE1, 0xEC, 0x80, 0xBF, 3 },
    { 0xED, 0xED, 0x80, 0x9F, 3 }, { 0xEE, 0xEF, 0x80, 0xBF, 3 }, { 0xF0, 0xF0, 0x90, 0xBF, 4 },
    { 0xF1, 0xF3, 0x80, 0xBF, 4 }, { 0xF4, 0xF4, 0x80, 0x8F, 4 },
};
constexpr unsigned char kFirstNonAscii = 0x80;
constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kDelete = 0x7F;

bool isContinuation(char it)
{
    return (static_cast<unsigned char>(it) & 0xC0U) == 0x80U;
}

} // namespace

std::size_t utf8SequenceLength(std::string_view text)
{
    if (text.empty()) {
        return 0;
    }
    const auto first = static_cast<unsigned char>(text[0]);
    if (first < kFirstNonAscii) {
        return 1;
    }
    for (const SequenceForm &it : kForms) {
        if (first < it.firstLow || first > it.firstHigh) {
            continue;
        }
        if (text.size() < it.length) {
            return 0;
        }
        const auto second = static_cast<unsigned char>(text[1]);
        const bool isValid = second >= it.secondLow && second <= it.secondHigh
            && std::all_of(text.begin() + 2, text.begin() + static_cast<std::ptrdiff_t>(it.length), isContinuation);
        return isValid ? it.length : 0;
    }
    return 0;
}

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t length = utf8SequenceLength(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

bool isPrintableUtf8(std::string_view text)
{
    const auto isPrintable = [](char it) {
        const auto byte = static_cast<unsigned char>(it);
        return byte >= kFirstPrintable && byte != kDelete;
    };
    return std::all_of(text.begin(), text.end(), isPrintable) && isUtf8(text);
}

} // namespace Eelgrasscleat
