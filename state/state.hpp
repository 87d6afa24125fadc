// Public header of the state package: value types, messages, the routing table, flow ids, sharded
// state and the event ring.
#ifndef CHIVELEVER_STATE_STATE_HPP
#define CHIVELEVER_STATE_STATE_HPP

// IWYU pragma: begin_exports
#include "state/base64.hpp"
#include "state/caller_packet.hpp"
#include "state/checked.hpp"
#include "state/config.hpp"
#include "state/edge_types.hpp"
#include "state/events.hpp"
#include "state/findings.hpp"
#include "state/flow_id.hpp"
#include "state/hash.hpp"
#include "state/ids.hpp"
#include "state/invariants.hpp"
#include "state/messages.hpp"
#include "state/peer_messages.hpp"
#include "state/published.hpp"
#include "state/routing_table.hpp"
#include "state/shard.hpp"
#include "state/store_position.hpp"
// IWYU pragma: end_exports

#endif
