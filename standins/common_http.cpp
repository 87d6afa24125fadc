#include "standins/common_http.hpp"

#include <boost/beast.hpp>

#include <memory>

namespace chivelever::standins
{

namespace
{

namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr std::size_t max_body_bytes =
    4 << 20; // above the 1 MB value limit, so that larger values get an answer
constexpr auto idle_timeout = std::chrono::minutes(5);

std::string decode_percent(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        unsigned value{};
        if (text[i] == '%' && i + 2 < text.size() &&
            std::sscanf(std::string(text.substr(i + 1, 2)).c_str(), "%2x", &value) == 1)
        {
            out += static_cast<char>(value);
            i += 2;
        }
        else
            out += text[i];
    }
    return out;
}

http_call to_call(http::request<http::string_body> const& request)
{
    http_call call;
    call.method = std::string(request.method_string());
    std::string_view const target(request.target().data(), request.target().size());
    auto const mark = target.find('?');
    call.path = decode_percent(target.substr(0, mark));
    if (mark != std::string_view::npos)
        for (std::string const& item : split(target.substr(mark + 1), '&'))
        {
            auto const equals = item.find('=');
            call.query[item.substr(0, equals)] =
                equals == std::string::npos ? "" : decode_percent(item.substr(equals + 1));
        }
    call.body = request.body();
    return call;
}

// One connection, kept alive by its pending operation or responder.
class session : public std::enable_shared_from_this<session>
{
public:
    session(tcp::socket socket, std::shared_ptr<http_handler> handler)
        : stream_(std::move(socket)), handler_(std::move(handler))
    {
    }

    void read()
    {
        parser_.emplace();
        parser_->body_limit(max_body_bytes);
        stream_.expires_after(idle_timeout);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](beast::error_code const& error, std::size_t)
                         {
                             if (!error)
                                 self->handle();
                         });
    }

private:
    void handle()
    {
        http_call const call = to_call(parser_->get());
        (*handler_)(call, [self = shared_from_this()](http_reply reply)
                    { self->answer(std::move(reply)); });
    }

    void answer(http_reply reply)
    {
        if (reply.close)
        {
            stream_.close();
            return;
        }
        response_ = {};
        response_.result(reply.status);
        response_.set(http::field::content_type, "application/json");
        if (!reply.index.empty())
            response_.set("X-Consul-Index", reply.index);
        response_.keep_alive(parser_->get().keep_alive());
        response_.body() = std::move(reply.body);
        response_.prepare_payload();
        http::async_write(stream_, response_,
                          [self = shared_from_this()](beast::error_code const& error, std::size_t)
                          {
                              if (!error && self->response_.keep_alive())
                                  self->read();
                              else
                                  self->stream_.close();
                          });
    }

    beast::tcp_stream stream_;
    std::shared_ptr<http_handler> handler_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
};

void accept_next(std::shared_ptr<tcp::acceptor> const& acceptor,
                 std::shared_ptr<http_handler> const& handler)
{
    acceptor->async_accept(
        [acceptor, handler](beast::error_code const& error, tcp::socket socket)
        {
            if (!error)
                std::make_shared<session>(std::move(socket), handler)->read();
            if (error != asio::error::operation_aborted)
                accept_next(acceptor, handler);
        });
}

// One client request.
struct fetch : std::enable_shared_from_this<fetch>
{
    explicit fetch(asio::io_context& io) : stream(io) {}

    void start(endpoint server)
    {
        stream.async_connect(tcp::endpoint(asio::ip::address_v4(server.address), server.port),
                             [self = shared_from_this()](beast::error_code const& error)
                             { error ? self->done(0, {}) : self->write(); });
    }
    void write()
    {
        http::async_write(stream, request,
                          [self = shared_from_this()](beast::error_code const& error, std::size_t)
                          { error ? self->done(0, {}) : self->read(); });
    }
    void read()
    {
        http::async_read(stream, buffer, response,
                         [self = shared_from_this()](beast::error_code const& error, std::size_t)
                         {
                             if (error)
                                 self->done(0, {});
                             else
                                 self->done(self->response.result_int(), self->response.body());
                         });
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    http::response<http::string_body> response;
    std::function<void(unsigned, std::string)> done;
};

} // namespace

void serve_http(asio::io_context& io, endpoint listen, http_handler handler)
{
    auto acceptor = std::make_shared<tcp::acceptor>(
        io, tcp::endpoint(asio::ip::address_v4(listen.address), listen.port), true);
    accept_next(acceptor, std::make_shared<http_handler>(std::move(handler)));
}

void fetch_http(asio::io_context& io, endpoint server, std::string const& target,
                steady::duration limit, std::function<void(unsigned, std::string)> done)
{
    auto const call = std::make_shared<fetch>(io);
    call->request = {http::verb::get, target, 11};
    call->request.set(http::field::host, to_string(server));
    call->done = std::move(done);
    call->stream.expires_after(limit);
    call->start(server);
}

json::object parse_object(std::string const& body)
{
    boost::system::error_code error;
    json::value value = json::parse(body, error);
    return !error && value.is_object() ? std::move(value.as_object()) : json::object{};
}

} // namespace chivelever::standins
