// Reads the heads of responses until a final one has arrived.
#pragma once

#include "http/response_status.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>

#include <optional>
#include <string>

namespace guavawick::http {

/// How reading the head of a response ended.
struct head_outcome {
    bool is_final = false;              ///< the parser holds the head of a final response
    boost::system::error_code error;    ///< of the connection or of the parser
    std::optional<int> rejected_status; ///< of the last response, if it was invalid or an interim one

    /// @return why there is no final response. @pre there is none.
    [[nodiscard]] std::string describe() const
    {
        if (!rejected_status) {
            return error.message();
        }
        std::string digits = std::to_string(*rejected_status);
        digits.insert(0, digits.size() < 3 ? 3 - digits.size() : 0, '0');
        return (classify_status(*rejected_status) == response_kind::invalid
                    ? "invalid status "
                    : "no final answer after status ") +
               digits;
    }
};

/// Reads heads until that of a final response, an invalid one or an error. Interim responses are discarded,
/// up to max_interim_responses.
/// @param parser set to the parser of the last head; it then reads the response's body.
/// @param prepare called with each parser before it reads.
template <typename Stream, typename Parser, typename Prepare>
boost::asio::awaitable<head_outcome> read_final_head(Stream& stream, boost::beast::flat_buffer& buffer,
                                                     std::optional<Parser>& parser, Prepare prepare)
{
    head_outcome outcome;
    for (int skipped = 0; skipped <= max_interim_responses; ++skipped) {
        parser.emplace();
        prepare(*parser);
        co_await boost::beast::http::async_read_header(
            stream, buffer, *parser, boost::asio::redirect_error(boost::asio::use_awaitable, outcome.error));
        if (outcome.error) {
            co_return outcome;
        }
        const int status = static_cast<int>(parser->get().result_int());
        const response_kind kind = classify_status(status);
        if (kind == response_kind::final_response) {
            outcome.is_final = true;
            outcome.rejected_status.reset();
            co_return outcome;
        }
        outcome.rejected_status = status;
        if (kind == response_kind::invalid) {
            co_return outcome;
        }
    }
    co_return outcome;
}

} // namespace guavawick::http
