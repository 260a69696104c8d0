/// @file
/// Parser of one request whose memory is known and bounded.
#pragma once

#include <eelgrasscleat/Wire/HeaderFields.h>

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace Eelgrasscleat
{

/// Boost.Beast's parser, which has no limit of its own for the whole head, for the line of a chunk's size and for
/// trailers. Trailers are checked and dropped.
class RequestParser : private boost::beast::http::basic_parser<true>
{
public:
    /// How the latest bytes were taken.
    enum class Outcome
    {
        NeedMore,
        Done,
        Malformed,
        HeaderTooLarge, ///< The head, a chunk's size line or the trailers are over the limit.
        BodyTooLarge,
    };

    /// @param headerBytes most bytes of the head, of the line of a chunk's size, and of all trailers
    /// @param bodyBytes most bytes of the body, without the framing of its chunks
    RequestParser(std::size_t headerBytes, std::size_t bodyBytes);
    ~RequestParser() override = default;
    RequestParser(const RequestParser &) = delete;
    RequestParser &operator=(const RequestParser &) = delete;

    /// Takes bytes. Not called again after any outcome but NeedMore.
    /// @param used gets the number of bytes taken; the others are to be given again, with more behind them
    Outcome take(std::string_view bytes, std::size_t &used);

    /// @returns whether any byte of the request has been taken or is waiting to be.
    [[nodiscard]] bool hasBegun() const;
    [[nodiscard]] bool isHeadDone() const;
    /// Once the head is done.
    [[nodiscard]] bool keepsAlive() const;
    /// @returns the bytes of memory held for the request.
    [[nodiscard]] std::size_t heldBytes() const;

    std::string method;
    std::string target;
    HeaderFields fields;
    std::string body;

private:
    using string_view = boost::beast::string_view;
    using error_code = boost::beast::error_code;

    void on_request_impl(
        boost::beast::http::verb verb, string_view methodText, string_view path, int version, error_code &ec) override;
    void on_response_impl(int code, string_view reason, int version, error_code &ec) override;
    void on_field_impl(boost::beast::http::field field, string_view name, string_view value, error_code &ec) override;
    void on_header_impl(error_code &ec) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, error_code &ec) override;
    std::size_t on_body_impl(string_view bytes, error_code &ec) override;
    void on_chunk_header_impl(std::uint64_t size, string_view extensions, error_code &ec) override;
    std::size_t on_chunk_body_impl(std::uint64_t left, string_view bytes, error_code &ec) override;
    void on_finish_impl(error_code &ec) override;

    std::size_t m_headerBytes;
    std::size_t m_bodyBytes; ///< Most bytes that this request's body can have.
    std::size_t m_headTaken = 0;
    bool m_isHeadDone = false;
    bool m_hasBegun = false;
};

} // namespace Eelgrasscleat
