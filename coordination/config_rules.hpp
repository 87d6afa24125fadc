// Configuration rules: which changes are accepted, and the resulting document. Pure and
// deterministic, so that every host computes the same document for a revision.
#ifndef CHIVELEVER_COORDINATION_CONFIG_RULES_HPP
#define CHIVELEVER_COORDINATION_CONFIG_RULES_HPP

#include "state/state.hpp"

#include <limits>

namespace chivelever
{

inline constexpr std::size_t min_reason_characters = 8; // minimum for the reason of an exception
// Retired upstreams kept in the table because flows may still use them. Beyond this number the
// earliest retired ones are removed, which keeps the document below the store's limit of 1 MB.
inline constexpr std::size_t max_retired_upstreams = 1000;

// Treats every release as applied by every host; used for changes that the store has already
// accepted.
inline constexpr revision all_revisions_in_force{std::numeric_limits<std::uint64_t>::max()};

// Returns the document after the change, or all findings. `in_force_everywhere` is the highest
// revision that every listed host has applied: the address of a released upstream may be assigned
// to another service only if the release is not later than that. The argument affects only whether
// a change is accepted, never the resulting document.
checked<fleet_config> apply(fleet_config const& config, config_change const& change,
                            revision in_force_everywhere = all_revisions_in_force);

// Checks a complete document.
findings validate(fleet_config const& config);

// Whether the two changes have no name, setting or address in common, so that the later one can be
// rebased unchanged onto the other.
bool independent(config_change const& a, config_change const& b);

} // namespace chivelever

#endif
