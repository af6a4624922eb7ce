#include "chicorylink/front/message_parser.hpp"

#include "chicorylink/front/free_if_empty.hpp"

#include <ostream>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

namespace chicorylink::front {
namespace {

namespace http = boost::beast::http;
using error_code = boost::beast::error_code;

constexpr std::string_view end_of_head = "\r\n\r\n";
constexpr std::string_view blank_line = "\r\n";

/// Bytes of blank lines that are skipped before a message, because some senders end a body with a
/// blank line. More than this is malformed.
constexpr std::size_t max_blank_bytes = 16;

/// The first status of a response; Beast takes any three digits.
constexpr int first_status = 100;

/// Capacity of a buffer that is kept although it holds little.
constexpr std::size_t max_kept_capacity = 16UL * 1024;

/// Bytes of chunk sizes and extensions for each byte of a body. A chunk of one byte takes five;
/// more is sent only to keep the parser busy.
constexpr std::uint64_t max_framing_per_body_byte = 8;

std::string to_string(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

/// Keeps the Beast parser out of the header, which is widely included.
class message_parser::impl {
public:
    virtual ~impl() = default;
    impl() = default;
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    virtual std::size_t put(std::string_view bytes, error_code& problem) = 0;
    virtual void put_end(error_code& problem) = 0;
    [[nodiscard]] virtual bool has_head() const = 0;
    [[nodiscard]] virtual bool is_done() const = 0;
    virtual void copy_framing(message_head& head) const = 0;
};

template <bool IsRequest>
class message_parser::beast_impl : public message_parser::impl,
                                   public http::basic_parser<IsRequest> {
public:
    beast_impl(message_head& head, std::string& body, std::size_t header_limit,
               std::optional<std::uint64_t> body_limit)
        : m_head(head), m_body(body)
    {
        this->eager(true);
        this->header_limit(static_cast<std::uint32_t>(header_limit));
        if (body_limit) {
            this->body_limit(*body_limit);
        }
        else {
            this->body_limit(boost::none);
        }
    }

    std::size_t put(std::string_view bytes, error_code& problem) override
    {
        return http::basic_parser<IsRequest>::put(
            boost::asio::const_buffer(bytes.data(), bytes.size()), problem);
    }
    void put_end(error_code& problem) override { this->put_eof(problem); }
    [[nodiscard]] bool has_head() const override { return this->is_header_done(); }
    [[nodiscard]] bool is_done() const override { return http::basic_parser<IsRequest>::is_done(); }
    void copy_framing(message_head& head) const override
    {
        head.keep_alive = this->keep_alive();
        head.chunked = this->chunked();
        if (const auto length = this->content_length()) {
            head.content_length = *length;
        }
    }

private:
    void on_request_impl(http::verb /*method*/, boost::beast::string_view method,
                         boost::beast::string_view target, int /*version*/,
                         error_code& /*problem*/) override
    {
        m_head.method = to_string(method);
        m_head.target = to_string(target);
    }
    void on_response_impl(int status, boost::beast::string_view reason, int /*version*/,
                          error_code& problem) override
    {
        if (status < first_status) {
            problem = http::error::bad_status;
            return;
        }
        m_head.status = status;
        m_head.reason = to_string(reason);
    }
    void on_field_impl(http::field /*name*/, boost::beast::string_view name,
                       boost::beast::string_view value, error_code& /*problem*/) override
    {
        m_head.fields.push_back({to_string(name), to_string(value)});
    }
    void on_header_impl(error_code& /*problem*/) override {}
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           error_code& /*problem*/) override
    {
    }
    std::size_t on_body_impl(boost::beast::string_view piece, error_code& /*problem*/) override
    {
        m_body.append(piece.data(), piece.size());
        return piece.size();
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, boost::beast::string_view /*extensions*/,
                              error_code& /*problem*/) override
    {
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, boost::beast::string_view piece,
                                   error_code& /*problem*/) override
    {
        m_body.append(piece.data(), piece.size());
        return piece.size();
    }
    void on_finish_impl(error_code& /*problem*/) override {}

    message_head& m_head;
    std::string& m_body;
};

message_parser::message_parser(message_kind kind, std::size_t header_limit,
                               std::optional<std::uint64_t> body_limit)
    : m_header_limit(header_limit), m_is_request(kind == message_kind::request)
{
    if (m_is_request) {
        m_impl = std::make_unique<beast_impl<true>>(m_head, m_body, header_limit, body_limit);
    }
    else {
        m_impl = std::make_unique<beast_impl<false>>(m_head, m_body, header_limit, body_limit);
    }
}

message_parser::~message_parser() = default;

void message_parser::fail(parse_problem problem)
{
    m_problem = problem;
}

bool message_parser::prepare_head()
{
    std::size_t blank = 0;
    while (std::string_view{m_buffer}.substr(blank).starts_with(blank_line)) {
        blank += blank_line.size();
    }
    m_buffer.erase(0, blank);
    m_blank_bytes += blank;
    if (m_blank_bytes > max_blank_bytes) {
        fail(parse_problem::malformed);
        return false;
    }
    m_has_begun = !m_buffer.empty();
    const auto end = m_buffer.find(end_of_head);
    if (end == std::string::npos) {
        if (m_buffer.size() > m_header_limit) {
            fail(parse_problem::header_too_large);
        }
        return false;
    }
    if (end + end_of_head.size() > m_header_limit) {
        fail(parse_problem::header_too_large);
        return false;
    }
    m_head_bytes = end + end_of_head.size();
    const auto head = std::string_view{m_buffer}.substr(0, end);
    // Beast joins folded lines; other parsers treat them as separate lines.
    if (head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos) {
        fail(parse_problem::malformed);
        return false;
    }
    return true;
}

void message_parser::feed(std::string_view bytes)
{
    if (m_problem != parse_problem::none) {
        return;
    }
    m_buffer.append(bytes);
    if (m_is_complete) {
        return;
    }
    if (!m_has_head && !prepare_head()) {
        return;
    }
    parse_buffered();
}

void message_parser::parse_buffered()
{
    std::size_t consumed = 0;
    const auto body_before = m_body.size();
    while (consumed < m_buffer.size() && !m_impl->is_done()) {
        error_code problem;
        const auto parsed = m_impl->put(std::string_view{m_buffer}.substr(consumed), problem);
        consumed += parsed;
        if (problem && problem != http::error::need_more) {
            fail(problem == http::error::body_limit     ? parse_problem::body_too_large
                 : problem == http::error::header_limit ? parse_problem::header_too_large
                                                        : parse_problem::malformed);
            return;
        }
        if (parsed == 0) {
            break;
        }
    }
    m_buffer.erase(0, consumed);
    free_if_empty(m_buffer);
    if (m_is_request && m_buffer.capacity() > max_kept_capacity &&
        m_buffer.size() < max_kept_capacity / 2) {
        // Many connections may wait with the beginning of a line.
        m_buffer.shrink_to_fit();
    }
    const auto body = m_body.size() - body_before;
    m_body_bytes += body;
    m_framing_bytes += consumed - body;
    if (!m_has_head && m_impl->has_head()) {
        m_has_head = true;
        m_framing_bytes -= m_head_bytes;
        m_impl->copy_framing(m_head);
        const bool has_transfer_encoding =
            find_field(m_head.fields, "Transfer-Encoding") != nullptr;
        if (has_transfer_encoding && !m_head.chunked) {
            fail(parse_problem::malformed);
            return;
        }
    }
    m_is_complete = m_impl->is_done();
    // The rest is an incomplete chunk-size or trailer line, which may never end.
    if (!m_is_complete && (m_buffer.size() > m_header_limit || has_too_much_framing())) {
        fail(parse_problem::malformed);
    }
}

bool message_parser::has_too_much_framing() const
{
    return m_is_request &&
           m_framing_bytes > max_framing_per_body_byte * m_body_bytes + 2 * m_header_limit;
}

void message_parser::feed_eof()
{
    if (m_is_complete || m_problem != parse_problem::none) {
        return;
    }
    if (!m_has_head) {
        fail(parse_problem::truncated);
        return;
    }
    error_code problem;
    m_impl->put_end(problem);
    if (problem || !m_impl->is_done()) {
        fail(parse_problem::truncated);
        return;
    }
    m_is_complete = true;
}

std::string message_parser::take_body()
{
    return std::exchange(m_body, {});
}

std::string message_parser::take_remaining()
{
    return std::exchange(m_buffer, {});
}

} // namespace chicorylink::front
