// Public header of the coordination package: the decisions, as deterministic state machines.
#ifndef CHIVELEVER_COORDINATION_COORDINATION_HPP
#define CHIVELEVER_COORDINATION_COORDINATION_HPP

// IWYU pragma: begin_exports
#include "coordination/concepts.hpp"
#include "coordination/membership.hpp"
#include "coordination/pool_lease.hpp"
// IWYU pragma: end_exports

#endif
