#include "daemon/operations.hpp"

namespace chivelever
{

operations::operations(context& shared, packet_plane& packets, control_plane& control,
                       config_agent& config, store_agent& store, peer_client& calls)
    : shared_(shared), packets_(packets), control_(control), config_(config), store_(store),
      calls_(calls)
{
    shared_.counters.gauge("invariant_violations_total", "Invariants found violated.",
                           [] { return static_cast<double>(invariants::violations()); });
}

// The fabric hands packets to ready hosts only: not before the first configuration, not while this
// host is leaving, and not while operators have its zone out.
bool operations::ready() const
{
    table_ptr const table = shared_.table.get();
    return table->rev().value > 0 && !shared_.leaving &&
           !table->zone_is_out(shared_.settings.zone);
}

host_status operations::status()
{
    table_ptr const table = shared_.table.get();
    return {shared_.self,
            shared_.settings.zone,
            table->rev(),
            table->hosts().version,
            shared_.leaving ? host_state::leaving : host_state::live,
            invariants::violations(),
            "{}",
            shared_.clock.now(unix_now_ms())};
}

http_response operations::handle(http_request const& r)
{
    if (r.path == "/healthz")
        return {200, "text/plain", "ok\n"};
    if (r.path == "/readyz")
        return ready() ? http_response{200, "text/plain", "ready\n"}
                       : http_response{503, "text/plain", "not ready\n"};
    if (r.path == "/metrics")
        return {200, "text/plain", shared_.counters.render()};
    return {404, "text/plain", "no such path\n"};
}

} // namespace chivelever
