// Packet handling of a simulated host: runs the router and pools as the daemon does.
#include "host.hpp"
#include "simulated_cluster.hpp"

namespace chivelever::soak
{

void host::receive(packet const& received, endpoint source)
{
    packet p = received;
    source_ = source;
    std::uint64_t const key = hash_pair(p.head.caller.packed(), p.head.request.value);
    packet_view const view = p.view();
    execute(router_.decide(view, source, *table_, *view_, ramp_, key, local_time()), p, key);
}

void host::execute(route const& r, packet& p, std::uint64_t key)
{
    time_point const now = local_time();
    outgoing_.clear();
    switch (r.action)
    {
    case route_action::drop:
        cluster_.sim.add_to_digest(static_cast<std::uint64_t>(r.reason), self.host.value);
        return;
    case route_action::to_host:
        ++p.head.hops;
        return forward(p.view(), r.to);
    case route_action::to_upstream:
    case route_action::to_caller:
        return forward(p.view(), r.to);
    case route_action::reply:
        p.head.kind = r.reply;
        p.head.status = r.status;
        p.payload.clear();
        return forward(p.view(), r.to);
    case route_action::local_fallback_open:
        return open_without_holder(p.view(), r);
    case route_action::local_open:
        if (p.head.flow == flow_kind::request || pool_of(r.pool).holds_lease(now))
        {
            pool_of(r.pool).on_open(p.view(), now, outgoing_);
            return send_all();
        }
        return open_without_holder(p.view(), router::fallback_open(p.view(), *table_, r.pool, key));
    case route_action::local_request:
        pool_of(r.pool).on_request(p.view(), r.id, now, outgoing_);
        return send_all();
    case route_action::local_cancel:
        pool_of(r.pool).on_cancel(p.view(), r.id, now, outgoing_);
        return send_all();
    case route_action::local_answer:
        pool_of(r.pool).on_answer(p.view(), source_, now, outgoing_);
        return send_all();
    case route_action::local_close:
        pool_of(r.pool).on_close(r.id);
        if (r.to.is_set())
            forward(p.view(), r.to);
        return;
    }
}

void host::open_without_holder(packet_view const& p, route const& r)
{
    packet_view answer = p;
    answer.payload = {};
    upstream_config const* const u =
        r.action == route_action::local_fallback_open ? table_->find(r.upstream) : nullptr;
    if (u == nullptr)
    {
        answer.kind = packet_kind::refused;
        answer.status =
            r.action == route_action::reply ? r.status : packet_status::not_run_no_upstream;
        return forward(answer, p.caller);
    }
    encoded_flow_id const id = issuer_.stream(p.flow, *u, *table_);
    answer.kind = packet_kind::opened;
    answer.status = packet_status::ok;
    answer.flow_id = as_view(id);
    forward(answer, p.caller);
}

void host::forward(packet_view const& p, endpoint to)
{
    cluster_.send_from_host(*this, p, to);
}

void host::send_all()
{
    for (send_packet const& s : outgoing_)
        forward(s.packet, s.to);
}

void host::pool_tick()
{
    for (auto& [id, p] : pools_)
    {
        outgoing_.clear();
        p->tick(local_time(), outgoing_);
        send_all();
    }
}

} // namespace chivelever::soak
