// Rules of the configuration: which changes are accepted, and the document that results. Pure and
// deterministic, so that every host computes the same document for a revision.
#ifndef CHIVELEVER_COORDINATION_CONFIG_RULES_HPP
#define CHIVELEVER_COORDINATION_CONFIG_RULES_HPP

#include "state/state.hpp"

#include <limits>

namespace chivelever
{

inline constexpr std::size_t min_reason_characters = 8; // of an exception's reason
// Retired upstreams that stay in the table for the sake of their flows. The earliest retired ones
// beyond this number leave it, so that the document stays below the store's bound of 1 MB.
inline constexpr std::size_t max_retired_upstreams = 1000;

// Says that every removal counts as in force: for changes that the store has already accepted.
inline constexpr revision all_in_force{std::numeric_limits<std::uint64_t>::max()};

// The document after the change, or all findings. `in_force_everywhere` is the highest revision
// that every listed host has applied; the address of a released upstream may go to another service
// only if the release is not later. The argument decides only whether a change is accepted, never
// which document results.
checked<fleet_config> apply(fleet_config const& config, config_change const& change,
                            revision in_force_everywhere = all_in_force);

// What is wrong with a document as a whole.
findings validate(fleet_config const& config);

// Whether the two changes touch no common name, setting or address, so that the later one may be
// repeated unchanged on top of the other.
bool independent(config_change const& a, config_change const& b);

} // namespace chivelever

#endif
