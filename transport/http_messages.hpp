// Request construction and limits shared by both HTTP clients; not part of the public header.
#ifndef CHIVELEVER_TRANSPORT_HTTP_MESSAGES_HPP
#define CHIVELEVER_TRANSPORT_HTTP_MESSAGES_HPP

#include "state/state.hpp"

#include <boost/beast/http.hpp>
#include <string>
#include <utility>

namespace chivelever
{

// The largest page of the store holds 1 MB of values; base64 adds a third, and JSON a little more.
inline constexpr std::size_t max_reply_bytes = 4 * 1024 * 1024;

using beast_request = boost::beast::http::request<boost::beast::http::string_body>;

inline beast_request make_request(endpoint server, std::string const& method,
                                  std::string const& target, std::string body, bool keep_alive)
{
    beast_request request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    request.set(boost::beast::http::field::host, to_string(server));
    request.keep_alive(keep_alive);
    request.body() = std::move(body);
    request.prepare_payload();
    return request;
}

} // namespace chivelever

#endif
