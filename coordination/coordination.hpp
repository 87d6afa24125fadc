// Public header of the coordination package, which implements the decisions as deterministic state
// machines.
#ifndef CHIVELEVER_COORDINATION_COORDINATION_HPP
#define CHIVELEVER_COORDINATION_COORDINATION_HPP

// IWYU pragma: begin_exports
#include "coordination/change_submitter.hpp"
#include "coordination/cluster_view.hpp"
#include "coordination/concepts.hpp"
#include "coordination/config_log.hpp"
#include "coordination/config_rules.hpp"
#include "coordination/deployment_view.hpp"
#include "coordination/edge_router.hpp"
#include "coordination/flow_owners.hpp"
#include "coordination/flow_table.hpp"
#include "coordination/host_directory.hpp"
#include "coordination/ledger.hpp"
#include "coordination/membership.hpp"
#include "coordination/overload_control.hpp"
#include "coordination/peer_exchange.hpp"
#include "coordination/placement.hpp"
#include "coordination/pool.hpp"
#include "coordination/pool_lease.hpp"
#include "coordination/retry_budget.hpp"
#include "coordination/router.hpp"
#include "coordination/service_capacity.hpp"
#include "coordination/service_loads.hpp"
#include "coordination/store_era.hpp"
#include "coordination/store_sync.hpp"
#include "coordination/store_watcher.hpp"
#include "coordination/upstream_health.hpp"
#include "coordination/upstream_limit.hpp"
#include "coordination/view_transfers.hpp"
// IWYU pragma: end_exports

#endif
