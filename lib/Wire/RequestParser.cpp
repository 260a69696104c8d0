/// @file
/// Limits and storage around Boost.Beast's parser.
#include "RequestParser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace Eelgrasscleat
{

namespace http = boost::beast::http;

RequestParser::RequestParser(std::size_t headerBytes, std::size_t bodyBytes)
    : m_headerBytes(headerBytes)
    , m_bodyBytes(bodyBytes)
{
    header_limit(static_cast<std::uint32_t>(headerBytes));
    body_limit(bodyBytes);
}

RequestParser::Outcome RequestParser::take(std::string_view bytes, std::size_t &used)
{
    used = 0;
    m_hasBegun = m_hasBegun || !bytes.empty();
    while (!is_done()) {
        // The head is taken by itself, so that its size is known.
        eager(m_isHeadDone);
        const bool wasHead = !m_isHeadDone;
        error_code ec;
        const std::size_t n = put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), ec);
        used += n;
        m_headTaken += wasHead ? n : 0;
        const std::size_t left = bytes.size() - used;
        // What is left belongs to a line that has no end yet: of the head, of a chunk's size, or of the trailers.
        const bool needsMore = ec == http::error::need_more;
        if (m_headTaken + (needsMore && wasHead ? left : 0) > m_headerBytes || (needsMore && left > m_headerBytes)) {
            return Outcome::HeaderTooLarge;
        }
        if (needsMore || (!ec && left == 0 && !is_done())) {
            return Outcome::NeedMore;
        }
        if (ec == http::error::header_limit) {
            return Outcome::HeaderTooLarge;
        }
        if (ec == http::error::body_limit) {
            return Outcome::BodyTooLarge;
        }
        if (ec) {
            return Outcome::Malformed;
        }
    }
    return Outcome::Done;
}

bool RequestParser::hasBegun() const
{
    return m_hasBegun;
}

bool RequestParser::isHeadDone() const
{
    return m_isHeadDone;
}

bool RequestParser::keepsAlive() const
{
    return keep_alive();
}

std::size_t RequestParser::heldBytes() const
{
    return method.capacity() + target.capacity() + fields.heldBytes() + body.capacity();
}

void RequestParser::on_request_impl(http::verb, string_view methodText, string_view path, int, error_code &)
{
    method.assign(methodText.data(), methodText.size());
    target.assign(path.data(), path.size());
}

void RequestParser::on_response_impl(int, string_view, int, error_code &)
{
}

void RequestParser::on_field_impl(http::field, string_view name, string_view value, error_code &)
{
    if (!m_isHeadDone) {
        fields.add({ name.data(), name.size() }, { value.data(), value.size() });
    }
}

void RequestParser::on_header_impl(error_code &)
{
    m_isHeadDone = true;
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &length, error_code &)
{
    if (length) {
        m_bodyBytes = static_cast<std::size_t>(*length);
    }
}

std::size_t RequestParser::on_body_impl(string_view bytes, error_code &)
{
    const std::size_t size = body.size() + bytes.size();
    if (size > body.capacity()) {
        // Memory follows what has come: a length that is only announced takes none.
        body.reserve(std::max(size, std::min(m_bodyBytes, 2 * body.capacity())));
    }
    body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t, string_view, error_code &)
{
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, string_view bytes, error_code &ec)
{
    return on_body_impl(bytes, ec);
}

void RequestParser::on_finish_impl(error_code &)
{
}

} // namespace Eelgrasscleat
