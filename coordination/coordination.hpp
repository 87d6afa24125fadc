// Public header of the coordination package: the decisions, as deterministic state machines.
#ifndef CHIVELEVER_COORDINATION_COORDINATION_HPP
#define CHIVELEVER_COORDINATION_COORDINATION_HPP

// IWYU pragma: begin_exports
#include "coordination/change_submitter.hpp"
#include "coordination/concepts.hpp"
#include "coordination/config_log.hpp"
#include "coordination/config_rules.hpp"
#include "coordination/store_sync.hpp"
#include "coordination/store_watcher.hpp"
// IWYU pragma: end_exports

#endif
