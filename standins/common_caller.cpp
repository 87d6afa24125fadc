#include "standins/common_caller.hpp"

#include <array>

namespace chivelever::standins
{

namespace
{

constexpr auto open_retransmit_interval = milliseconds(200);
constexpr auto open_retry_delay = milliseconds(100); // after a refusal
constexpr int process_id_bits = 40;                  // low bits for the ids of one process

// Runs with the same seed need different operation ids, or the second run looks like duplicates of
// the first.
std::uint64_t process_id_seed(std::uint64_t seed)
{
    auto const now = std::chrono::system_clock::now().time_since_epoch().count();
    return hash_pair(seed, static_cast<std::uint64_t>(now));
}

} // namespace

std::string_view to_text(packet_status status)
{
    static constexpr std::array<std::string_view, 12> names{"ok",
                                                            "shed",
                                                            "not_run_overloaded",
                                                            "not_run_moved",
                                                            "not_run_no_upstream",
                                                            "not_run_shutting_down",
                                                            "outcome_unknown",
                                                            "deadline_exceeded",
                                                            "cancelled",
                                                            "zone_out",
                                                            "upstream_gone",
                                                            "unknown_service"};
    auto const i = static_cast<std::size_t>(status);
    return i < names.size() ? names[i] : "undefined";
}

json::object to_json(counter_map const& counts)
{
    json::object o;
    for (auto const& [name, count] : counts)
        o[name] = count;
    return o;
}

caller_port::caller_port(asio::io_context& io, timer_queue& timers, endpoint fabric, endpoint local,
                         std::size_t sockets, std::uint64_t seed)
    : timers_(timers), fabric_(fabric), next_id_((process_id_seed(seed) << process_id_bits) + 1)
{
    for (std::size_t i = 0; i < std::max<std::size_t>(sockets, 1); ++i)
        sockets_.push_back(std::make_unique<udp_socket>(
            io, local, [this, i](endpoint, std::string_view bytes) { receive(i, bytes); }));
}

void caller_port::send(std::size_t socket, packet_view const& p)
{
    ++counts_["sent"];
    sockets_[socket]->send(fabric_, out_.encode(p));
}

void caller_port::receive(std::size_t socket, std::string_view bytes)
{
    ++counts_["received"];
    auto const p = in_.decode(bytes);
    if (!p)
    {
        ++counts_["undecodable"];
        return;
    }
    if (auto const it = by_request_.find(p->request.value); it != by_request_.end())
    {
        auto const h = it->second; // the handler may remove itself
        return h(*p);
    }
    if (auto const it = by_flow_.find(std::string(p->flow_id)); it != by_flow_.end())
    {
        auto const h = it->second;
        return h(*p);
    }
    ++counts_["unmatched"]; // late or repeated answers
    if (p->kind == packet_kind::opened)
        close(socket, p->service, p->flow, std::string(p->flow_id));
}

void caller_port::open(service_id service, flow_kind kind, std::size_t socket,
                       steady::duration limit, opened done)
{
    auto const o = std::make_shared<open_attempt>(open_attempt{.service = service,
                                                               .kind = kind,
                                                               .socket = socket,
                                                               .limit = steady::now() + limit,
                                                               .id = next_id(),
                                                               .done = std::move(done)});
    if (!synthetic_flow_ids_)
        return send_open(o);
    // Deferred, because the caller has not finished starting.
    timers_.after({}, [o] { o->done("by-hand-" + std::to_string(o->id), packet_status::ok); });
}

void caller_port::send_open(std::shared_ptr<open_attempt> const& o)
{
    if (steady::now() >= o->limit)
    {
        forget_request(o->id);
        ++counts_["opens_failed"];
        return o->done({}, o->status);
    }
    on_request(o->id, [this, o](packet_view const& p) { on_open_answer(o, p); });
    packet_view p;
    p.kind = packet_kind::open;
    p.flow = o->kind;
    p.service = o->service;
    p.request = {o->id};
    ++counts_["opens_sent"];
    send(o->socket, p);
    o->retry = timers_.after(open_retransmit_interval, [this, o] { send_open(o); });
}

void caller_port::on_open_answer(std::shared_ptr<open_attempt> const& o, packet_view const& p)
{
    if (p.kind != packet_kind::opened && p.kind != packet_kind::refused)
        return;
    timers_.cancel(o->retry);
    forget_request(o->id);
    if (p.kind == packet_kind::opened)
        return o->done(std::string(p.flow_id), packet_status::ok);
    o->status = p.status;
    ++open_refusals_[std::string(to_text(p.status))];
    o->id = next_id(); // the refusal of the old id is final
    o->retry = timers_.after(open_retry_delay, [this, o] { send_open(o); });
}

void caller_port::close(std::size_t socket, service_id service, flow_kind kind,
                        std::string const& flow_id)
{
    packet_view p;
    p.kind = packet_kind::close;
    p.flow = kind;
    p.service = service;
    p.flow_id = flow_id;
    send(socket, p);
}

json::object caller_port::report() const
{
    json::object o = to_json(counts_);
    std::uint64_t receive_drops = 0;
    std::uint64_t failures = 0;
    for (auto const& s : sockets_)
    {
        receive_drops += s->receive_drops();
        failures += s->send_failures();
    }
    o["buffer_drops"] = receive_drops;
    o["send_failures"] = failures;
    o["open_refusals"] = to_json(open_refusals_);
    return o;
}

} // namespace chivelever::standins
