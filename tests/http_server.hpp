// Minimal HTTP server that serves the operator API, for client tests.
#ifndef CHIVELEVER_TESTS_HTTP_SERVER_HPP
#define CHIVELEVER_TESTS_HTTP_SERVER_HPP

#include "transport/transport.hpp"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <thread>

namespace sample
{

class http_server
{
public:
    explicit http_server(chivelever::api_handler const& handler)
        : handler_(handler), acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
          thread_([this] { run(); })
    {
    }
    ~http_server()
    {
        // Unblocks accept() with a last connection.
        stopping = true;
        boost::asio::io_context io;
        boost::asio::ip::tcp::socket socket(io);
        boost::system::error_code ignored;
        socket.connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }

    std::atomic<bool> stopping{false};
    std::atomic<int> drop_responses{0}; // number of POST requests to execute without a response

private:
    void run()
    {
        while (!stopping)
        {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(io_);
            acceptor_.accept(socket, error);
            if (!error && !stopping)
                serve(socket);
        }
    }

    void serve(boost::asio::ip::tcp::socket& socket)
    {
        namespace http = boost::beast::http;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> in;
        boost::system::error_code error;
        http::read(socket, buffer, in, error);
        if (error)
            return;
        std::string const target(in.target());
        auto const query_start = target.find('?');
        chivelever::api_request request{
            std::string(in.method_string()), target.substr(0, query_start), {}, in.body(), {}};
        if (query_start != std::string::npos)
            request.query = chivelever::parse_query(target.substr(query_start + 1));
        std::string const bearer(in[http::field::authorization]);
        if (bearer.starts_with("Bearer "))
            request.token = bearer.substr(7);
        chivelever::api_response const response = handler_.handle(request);
        if (request.method == "POST" && drop_responses > 0)
        {
            --drop_responses;
            return;
        }
        http::response<http::string_body> out{static_cast<http::status>(response.status), 11};
        out.set(http::field::content_type, response.content_type);
        out.body() = response.body;
        out.prepare_payload();
        http::write(socket, out, error);
    }

    chivelever::api_handler const& handler_;
    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::thread thread_;
};

} // namespace sample

#endif
