// State shared by all components of a daemon: identity, clocks, published snapshots, timeline and
// metrics.
#ifndef CHIVELEVER_DAEMON_CONTEXT_HPP
#define CHIVELEVER_DAEMON_CONTEXT_HPP

#include "coordination/coordination.hpp"
#include "protocol/protocol.hpp"
#include "state/state.hpp"
#include "transport/transport.hpp"

#include <atomic>
#include <string>
#include <string_view>

namespace chivelever
{

struct daemon_context
{
    daemon_context(host_settings s, incarnation run);
    daemon_context(daemon_context const&) = delete;
    daemon_context& operator=(daemon_context const&) = delete;

    // Adds an event to the timeline and logs it at debug level. Satisfies the event_sink concept.
    void record(std::string_view kind, std::string_view subject, std::string_view detail);

    host_settings const settings;
    host_instance const self;
    hybrid_clock clock;
    event_ring timeline_events;
    metrics metric_registry;
    published<routing_table> table;
    published<cluster_view> view;
    published<zone_ramp> ramp;
    std::atomic<bool> leaving{false};
    time_point const started;
};
static_assert(event_sink<daemon_context>);

} // namespace chivelever

#endif
