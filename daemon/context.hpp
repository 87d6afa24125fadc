// What all parts of one daemon share: identity, clocks, the published snapshots, the time line and
// metrics.
#ifndef CHIVELEVER_DAEMON_CONTEXT_HPP
#define CHIVELEVER_DAEMON_CONTEXT_HPP

#include "transport/transport.hpp"

#include <atomic>
#include <string>
#include <string_view>

namespace chivelever
{

struct context
{
    context(host_settings s, incarnation run);
    context(context const&) = delete;
    context& operator=(context const&) = delete;

    // Adds an event to the time line and logs it at debug level (model of event_sink).
    void record(std::string_view kind, std::string_view subject, std::string_view detail);

    host_settings const settings;
    host_instance const self;
    hybrid_clock clock;
    event_ring ring;
    metrics counters;
    published<routing_table> table;
    published<cluster_view> view;
    published<zone_ramp> ramp;
    std::atomic<bool> leaving{false};
    time_point const started;
};
static_assert(event_sink<context>);

} // namespace chivelever

#endif
