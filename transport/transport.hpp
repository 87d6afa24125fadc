// Public header of the transport package: sockets, calls between hosts, HTTP, the store client, the
// timer service, logs and metrics.
#ifndef CHIVELEVER_TRANSPORT_TRANSPORT_HPP
#define CHIVELEVER_TRANSPORT_TRANSPORT_HPP

// IWYU pragma: begin_exports
#include "coordination/coordination.hpp"
#include "protocol/protocol.hpp"
#include "transport/api.hpp"
#include "transport/store_codec.hpp"
// IWYU pragma: end_exports

#endif
