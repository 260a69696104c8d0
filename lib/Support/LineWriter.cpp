/// @file
/// Formatting, and writing without waiting.
#include "LineWriter.h"

#include <eelgrasscleat/Support/Utf8.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <utility>

namespace Eelgrasscleat
{

namespace
{

/// Most bytes that wait for a reader: about half a second of the busiest instance.
constexpr std::size_t kWaitingBytes = std::size_t { 256 } * 1024;
/// Bytes that are written out at once without waiting for flush().
constexpr std::size_t kFlushBytes = std::size_t { 32 } * 1024;

/// Bytes that are no valid UTF-8 are replaced: a line must stay readable whatever its fields quote.
void appendEscaped(std::string &out, std::string_view text)
{
    constexpr unsigned char kFirstPrintable = 0x20;
    constexpr unsigned char kFirstNonAscii = 0x80;
    while (!text.empty()) {
        const char it = text[0];
        const auto byte = static_cast<unsigned char>(it);
        std::size_t length = 1;
        if (it == '"' || it == '\\') {
            out += '\\';
            out += it;
        } else if (byte < kFirstPrintable) {
            std::array<char, 8> escape {};
            std::snprintf(escape.data(), escape.size(), "\\u%04x", byte);
            out += escape.data();
        } else if (byte < kFirstNonAscii) {
            out += it;
        } else if (const std::size_t valid = utf8SequenceLength(text); valid > 0) {
            out += text.substr(0, valid);
            length = valid;
        } else {
            out += "\\ufffd";
        }
        text.remove_prefix(length);
    }
}

} // namespace

LineWriter::LineWriter(int descriptor, std::string process)
    : m_descriptor(descriptor)
    , m_process(std::move(process))
{
    const int flags = ::fcntl(m_descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

LineWriter::~LineWriter()
{
    flush();
}

void LineWriter::appendTime()
{
    timespec now {};
    ::clock_gettime(CLOCK_REALTIME, &now);
    if (now.tv_sec != m_second) {
        m_second = now.tv_sec;
        std::tm utc {};
        ::gmtime_r(&now.tv_sec, &utc);
        std::array<char, 32> text {};
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &utc);
        m_secondText = text.data();
    }
    constexpr long kNanosPerMilli = 1000000;
    std::array<char, 8> millis {};
    std::snprintf(millis.data(), millis.size(), ".%03ldZ", now.tv_nsec / kNanosPerMilli % 1000);
    m_waiting += m_secondText;
    m_waiting += millis.data();
}

void LineWriter::appendField(std::string_view name, std::string_view value)
{
    m_waiting += ",\"";
    m_waiting += name;
    m_waiting += "\":\"";
    appendEscaped(m_waiting, value);
    m_waiting += '"';
}

void LineWriter::write(std::string_view level, std::string_view message, std::initializer_list<LogField> fields)
{
    if (m_waiting.size() >= kWaitingBytes) {
        ++m_dropped;
        return;
    }
    m_waiting += "{\"time\":\"";
    appendTime();
    m_waiting += '"';
    appendField("level", level);
    appendField("process", m_process);
    appendField("message", message);
    for (const LogField &it : fields) {
        appendField(it.name, it.value);
    }
    m_waiting += "}\n";
    if (m_waiting.size() >= kFlushBytes) {
        flush();
    }
}

void LineWriter::flush()
{
    while (!m_waiting.empty()) {
        const auto written = ::write(m_descriptor, m_waiting.data(), m_waiting.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return; // Nobody reads; what waits is bounded.
        }
        m_waiting.erase(0, static_cast<std::size_t>(written));
    }
    if (m_dropped > 0) {
        const std::uint64_t dropped = std::exchange(m_dropped, 0);
        write("warn", "log lines dropped", { { "lines", dropped }, { "reason", "not read" } });
    }
}

} // namespace Eelgrasscleat
