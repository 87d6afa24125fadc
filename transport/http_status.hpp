// HTTP status codes that are sent or checked for.
#ifndef CHIVELEVER_TRANSPORT_HTTP_STATUS_HPP
#define CHIVELEVER_TRANSPORT_HTTP_STATUS_HPP

namespace chivelever
{

inline constexpr int http_ok = 200;
inline constexpr int http_not_found = 404;
inline constexpr int http_unavailable = 503;

} // namespace chivelever

#endif
