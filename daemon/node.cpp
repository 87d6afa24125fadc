#include "daemon/node.hpp"

#include <chrono>
#include <thread>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

constexpr duration pool_period = 5ms; // bounds how late a time-out or queue expiry is noticed
constexpr duration control_period = 50ms;
constexpr int admin_threads = 1;

// Time that the fabric and the other hosts need to learn that this host is leaving.
constexpr auto notice_time = 800ms;
// Longest time for outstanding requests: max_request_deadline_ms and some for the queue.
constexpr auto drain_limit = 4s;
constexpr auto drain_poll = 20ms;
// Packets that are still on their way to this host are forwarded for this long.
constexpr auto linger = 1s;

} // namespace

node::node(host_settings settings, incarnation run)
    : shared_(std::move(settings), run),
      calls_(
          shared_.settings.cluster_secret, [this] { return shared_.clock.now(unix_now_ms()); },
          [this](hybrid_time t) { shared_.clock.observe(t, unix_now_ms()); }),
      packets_(shared_), control_(shared_, packets_, calls_, background_),
      config_(shared_, packets_, control_, calls_, background_), store_(shared_, control_, config_),
      operations_(shared_, packets_, control_, config_, store_, calls_),
      peers_(shared_.settings.grpc_listen, shared_.settings.cluster_secret, handlers())
{
    admin_ = std::make_unique<http_server>(shared_.settings.admin_listen, admin_threads,
                                           [this](http_request const& r)
                                           { return operations_.handle(r); });
}

node::~node()
{
    pool_tick_ = {};
    control_tick_ = {};
    store_.stop();
    admin_.reset();
    peers_.stop();
    background_.join();
    control_.stop();
    packets_.stop();
}

peer_handlers node::handlers()
{
    peer_handlers h;
    h.fetch = [this](revision since, std::uint64_t list) { return config_.fetch(since, list); };
    h.status = [this] { return operations_.status(); };
    h.timeline = [this](hybrid_time since, std::string const& subject)
    { return shared_.ring.select(since, subject); };
    h.handover = [this](pool_handover const& m)
    {
        packets_.accept(m, monotonic_now());
        shared_.record("lease.accepted", control_.pool_name(m.pool),
                       "from host " + std::to_string(m.from.host.value));
    };
    h.clock = [this](hybrid_time t) { return shared_.clock.observe(t, unix_now_ms()); };
    return h;
}

void node::start()
{
    control_.on_newer_peer([this] { config_.pull(); });
    config_.publish();
    control_.start();
    packets_.start();
    pool_tick_ = timers_.subscribe(pool_period, [this](time_point now) { packets_.tick(now); });
    control_tick_ =
        timers_.subscribe(control_period, [this](time_point now) { control_.tick(now); });
    store_.start();
    shared_.record("host.started", "host/" + shared_.settings.name,
                   "incarnation " + std::to_string(shared_.self.run.value));
    log::info("host.started", {{"zone", shared_.settings.zone_name},
                               {"packet", to_string(shared_.settings.packet_listen)},
                               {"admin", to_string(shared_.settings.admin_listen)}});
}

void node::drain()
{
    shared_.record("host.leaving", "host/" + shared_.settings.name, "graceful shutdown");
    log::info("host.leaving");
    control_.set_leaving(monotonic_now());
    std::this_thread::sleep_for(notice_time);
    packets_.begin_shutdown();
    auto const until = std::chrono::steady_clock::now() + drain_limit;
    while (
        std::chrono::steady_clock::now() < until &&
        !(packets_.idle() && (control_.held(monotonic_now()).empty() || !control_.has_successor())))
        std::this_thread::sleep_for(drain_poll);
    packets_.notify_callers(monotonic_now());
    std::this_thread::sleep_for(linger);
    pool_stats const totals = packets_.totals();
    log::info("host.stopped", {{"outstanding", std::to_string(totals.outstanding)},
                               {"violations", std::to_string(invariants::violations())}});
}

} // namespace chivelever
