#include "daemon/node.hpp"

#include <chrono>
#include <thread>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Upper bound on the delay in detecting a timeout or queue expiry.
constexpr duration pool_tick_period = 5ms;
constexpr duration control_tick_period = 50ms;
constexpr int admin_threads = 1;

// Time for the fabric and the other hosts to learn that this host is leaving.
constexpr auto leave_notice_time = 800ms;
// Maximum time to wait for outstanding requests: max_request_deadline_ms plus time in the queue.
constexpr auto drain_limit = 4s;
constexpr auto drain_poll_period = 20ms;
// Time for which packets still in flight to this host are forwarded.
constexpr auto late_packet_time = 1s;

} // namespace

node::node(host_settings settings, incarnation run)
    : context_(std::move(settings), run),
      peer_client_(
          context_.settings.cluster_secret, [this] { return context_.clock.now(unix_now_ms()); },
          [this](hybrid_time t) { context_.clock.observe(t, unix_now_ms()); }),
      packet_plane_(context_), control_plane_(context_, packet_plane_, peer_client_, background_),
      config_agent_(context_, packet_plane_, control_plane_, peer_client_, background_),
      store_agent_(context_, control_plane_, config_agent_),
      operations_(context_, packet_plane_, control_plane_, config_agent_, store_agent_,
                  peer_client_),
      peer_server_(context_.settings.grpc_listen, context_.settings.cluster_secret,
                   make_peer_handlers())
{
    admin_server_ = std::make_unique<http_server>(context_.settings.admin_listen, admin_threads,
                                                  [this](http_request const& r)
                                                  { return operations_.handle(r); });
}

node::~node()
{
    pool_tick_ = {};
    control_tick_ = {};
    store_agent_.stop();
    admin_server_.reset();
    peer_server_.stop();
    background_.join();
    control_plane_.stop();
    packet_plane_.stop();
}

peer_handlers node::make_peer_handlers()
{
    peer_handlers h;
    h.fetch = [this](revision since, std::uint64_t list)
    { return config_agent_.serve_fetch(since, list); };
    h.status = [this] { return operations_.status(); };
    h.timeline = [this](hybrid_time since, std::string const& subject)
    { return context_.timeline_events.select(since, subject); };
    h.handover = [this](pool_handover const& m)
    {
        packet_plane_.accept(m, monotonic_now());
        context_.record("lease.accepted", control_plane_.pool_name(m.pool),
                        "from host " + std::to_string(m.from.host.value));
    };
    h.clock = [this](hybrid_time t) { return context_.clock.observe(t, unix_now_ms()); };
    return h;
}

void node::start()
{
    control_plane_.on_newer_peer([this] { config_agent_.pull(); });
    config_agent_.publish();
    control_plane_.start();
    packet_plane_.start();
    pool_tick_ =
        timers_.subscribe(pool_tick_period, [this](time_point now) { packet_plane_.tick(now); });
    control_tick_ = timers_.subscribe(control_tick_period,
                                      [this](time_point now) { control_plane_.tick(now); });
    store_agent_.start();
    context_.record("host.started", "host/" + context_.settings.name,
                    "incarnation " + std::to_string(context_.self.run.value));
    log::info("host.started", {{"zone", context_.settings.zone_name},
                               {"packet", to_string(context_.settings.packet_listen)},
                               {"admin", to_string(context_.settings.admin_listen)}});
}

void node::drain()
{
    context_.record("host.leaving", "host/" + context_.settings.name, "graceful shutdown");
    log::info("host.leaving");
    control_plane_.announce_leaving(monotonic_now());
    std::this_thread::sleep_for(leave_notice_time);
    packet_plane_.begin_shutdown();
    auto const deadline = std::chrono::steady_clock::now() + drain_limit;
    while (std::chrono::steady_clock::now() < deadline &&
           !(packet_plane_.idle() && (control_plane_.held_pools(monotonic_now()).empty() ||
                                      !control_plane_.has_successor())))
        std::this_thread::sleep_for(drain_poll_period);
    packet_plane_.notify_callers(monotonic_now());
    std::this_thread::sleep_for(late_packet_time);
    pool_stats const totals = packet_plane_.totals();
    log::info("host.stopped", {{"outstanding", std::to_string(totals.outstanding)},
                               {"violations", std::to_string(invariants::violations())}});
}

} // namespace chivelever
