// Public header of the transport package: sockets, RPC between hosts, HTTP, the store client, the
// timer service, logging and metrics.
#ifndef CHIVELEVER_TRANSPORT_TRANSPORT_HPP
#define CHIVELEVER_TRANSPORT_TRANSPORT_HPP

// IWYU pragma: begin_exports
#include "coordination/coordination.hpp"
#include "protocol/protocol.hpp"
#include "transport/api.hpp"
#include "transport/bounded_output.hpp"
#include "transport/command_line.hpp"
#include "transport/event_loop.hpp"
#include "transport/event_loop_http.hpp"
#include "transport/http_client.hpp"
#include "transport/http_server.hpp"
#include "transport/http_status.hpp"
#include "transport/log.hpp"
#include "transport/metrics.hpp"
#include "transport/peer_rpc.hpp"
#include "transport/store_client.hpp"
#include "transport/store_codec.hpp"
#include "transport/subscription.hpp"
#include "transport/timers.hpp"
#include "transport/udp.hpp"
// IWYU pragma: end_exports

#endif
