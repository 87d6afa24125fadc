#include "bench/scale/fleet.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <numeric>

namespace chivelever::scale
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t ip_and_udp_header = 28; // bytes
constexpr std::size_t pull_call_bytes = 260;  // of a unary gRPC call, both directions
constexpr duration timer_period = 100ms;      // of the daemon's periodic timer
constexpr duration same_zone_delay = 200us;
constexpr duration cross_zone_delay = 1ms;
constexpr duration pull_delay = 3ms;
constexpr duration store_watch_delay = 20ms; // from accepting a change to answering the watch
constexpr duration list_poll_period = 2s;    // of a watcher
constexpr duration watch_timeout = 30s;      // of one watch call
constexpr duration drain_duration = 2s;      // from leaving to exit
constexpr duration downtime = 3s;            // from exit to the next start
constexpr duration sample_period = 250ms;
constexpr time_point clock_origin{1h};
constexpr std::uint32_t initial_run = 1'000'000;

// Adds the CPU time of a scope to a host's counter. Uses wall time: the program has one thread, so
// the two differ only by the time that the thread is preempted.
class scoped_cpu_timer
{
public:
    explicit scoped_cpu_timer(std::int64_t& sum)
        : sum_(sum), start_(std::chrono::steady_clock::now())
    {
    }
    ~scoped_cpu_timer() { sum_ += (std::chrono::steady_clock::now() - start_) / 1ns; }
    scoped_cpu_timer(scoped_cpu_timer const&) = delete;
    scoped_cpu_timer& operator=(scoped_cpu_timer const&) = delete;

private:
    std::int64_t& sum_;
    std::chrono::steady_clock::time_point start_;
};

} // namespace

struct fleet::node
{
    std::size_t index{};
    host_instance instance;
    zone_id zone;
    bool running{};
    bool leaving{};
    std::uint32_t start_count{}; // lets events of an earlier process be ignored
    revision config;
    bool pulling{};
    std::unique_ptr<membership> members;
    std::unique_ptr<lease_granter> granter;
    std::unique_ptr<lease_holder> holder;
    outgoing_heartbeats heartbeats;
    outgoing_leases leases;
    duration next_list_poll{};
    duration next_watch{};
    host_counters counts;
};

struct fleet::event
{
    duration time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(event const& o) const
    {
        return std::pair(time, order) > std::pair(o.time, o.order);
    }
};

summary_statistics summary_statistics::of(std::vector<double> v)
{
    if (v.empty())
        return {};
    std::sort(v.begin(), v.end());
    auto const quantile = [&v](double q)
    { return v[static_cast<std::size_t>(std::lround(q * static_cast<double>(v.size() - 1)))]; };
    double const sum = std::accumulate(v.begin(), v.end(), 0.0);
    return {sum / static_cast<double>(v.size()), quantile(0.5), quantile(0.99), v.back()};
}

fleet::fleet(fleet_options options)
    : options_(options), random_(options.seed), codec_("bench secret")
{
    list_.version = 1;
    std::size_t const per_zone = (options_.nodes + options_.zones - 1) / options_.zones;
    for (std::size_t i = 0; i < options_.nodes; ++i)
    {
        auto n = std::make_unique<node>();
        n->index = i;
        n->instance.host.value = static_cast<std::uint16_t>(i + 1);
        n->instance.run.value = initial_run;
        n->zone.value = static_cast<std::uint8_t>(i / per_zone);
        list_.hosts.push_back({listed_kind::entry,
                               n->instance.host.value,
                               n->zone,
                               host_state::live,
                               {static_cast<std::uint32_t>(i + 1), 7000}});
        nodes_.push_back(std::move(n));
    }
    zone_pools_.resize(options_.zones);
    for (std::size_t p = 0; p < options_.pools; ++p)
    {
        zone_id const zone{static_cast<std::uint8_t>(p % options_.zones)};
        zone_pools_[zone.value].push_back({{static_cast<std::uint32_t>(p + 1)}, zone});
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        start(i);
    schedule(sample_period, [this] { sample(); });
}

fleet::~fleet() = default;

// The hosts' clocks differ by multiples of 7 s.
time_point fleet::local_time(node const& n) const
{
    return clock_origin + n.index * 7s + now_;
}

void fleet::schedule(duration time, std::function<void()> action)
{
    queue_.push({time, ++next_event_order_, std::move(action)});
}

void fleet::run_for(duration d)
{
    duration const end = now_ + d;
    while (!queue_.empty() && queue_.top().time <= end)
    {
        now_ = queue_.top().time;
        auto const action = queue_.top().action;
        queue_.pop();
        action();
    }
    now_ = end;
}

void fleet::reset_counters()
{
    for (auto& n : nodes_)
        n->counts = {};
    reset_at_ = now_;
    held_share_sum_ = 0;
    held_samples_ = 0;
    min_held_ = 1;
    restarts_ = 0;
    false_suspicions_ = 0;
}

std::vector<host_counters> fleet::counts() const
{
    std::vector<host_counters> r;
    r.reserve(nodes_.size());
    for (auto const& n : nodes_)
        r.push_back(n->counts);
    return r;
}

std::size_t fleet::running() const
{
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [](auto const& n) { return n->running; }));
}

void fleet::start(std::size_t index)
{
    node& n = *nodes_[index];
    n.instance.run.value =
        std::max(n.instance.run.value + 1, initial_run + static_cast<std::uint32_t>(now_ / 1s));
    n.running = true;
    n.leaving = false;
    n.pulling = false;
    ++n.start_count;
    n.config = now_ == duration{} ? store_revision_ : revision{};
    scoped_cpu_timer const timer(n.counts.busy_ns);
    n.members = std::make_unique<membership>(n.instance, n.zone, random_(), options_.member);
    n.granter = std::make_unique<lease_granter>(n.instance, local_time(n), options_.lease);
    n.holder = std::make_unique<lease_holder>(n.instance, options_.lease);
    n.members->update(list_, local_time(n));
    n.members->set_local(n.config, list_.version, host_state::live);
    n.granter->update(list_, local_time(n));
    n.holder->update(list_);
    n.holder->set_pools(zone_pools_[n.zone.value]);
    auto const phase = duration(static_cast<std::int64_t>(random_() % 500'000));
    schedule(now_ + phase,
             [this, index, start_count = n.start_count] { run_timer(index, start_count); });
}

// Does the work of one tick of the daemon's timer.
void fleet::run_timer(std::size_t index, std::uint32_t start_count)
{
    node& n = *nodes_[index];
    if (!n.running || n.start_count != start_count)
        return;
    {
        scoped_cpu_timer const timer(n.counts.busy_ns);
        time_point const t = local_time(n);
        n.heartbeats.clear();
        n.leases.clear();
        n.members->tick(t, n.heartbeats);
        n.granter->on_list_settled(n.members->settled_list_version());
        n.holder->set_candidates(n.members->settled_hosts(n.zone, t));
        for (auto const& [pool, to] : n.holder->pools_to_hand_over(t))
            n.holder->release(pool, t, n.leases);
        n.holder->tick(t, n.leases);
        send_heartbeats(n, n.heartbeats);
        for (auto const& [to, q] : n.leases)
            if (to == n.instance.host)
                n.holder->on_reply(n.granter->on_request(q, t), t);
            else
                send(n, to, q);
    }
    poll_store(n);
    start_pull_if_behind(n);
    schedule(now_ + timer_period, [this, index, start_count] { run_timer(index, start_count); });
}

void fleet::send_heartbeats(node& n, outgoing_heartbeats const& heartbeats)
{
    for (auto const& [to, h] : heartbeats)
        send(n, to, h);
}

// Encodes, counts and schedules one datagram. The caller times it as work of the sender.
void fleet::send(node& from, host_id to, peer_message const& m)
{
    std::string bytes = codec_.encode(from.instance.host, m);
    std::size_t const size = bytes.size() + ip_and_udp_header;
    from.counts.bytes_sent += size;
    ++from.counts.messages_sent;
    if (!std::holds_alternative<heartbeat>(m))
        from.counts.lease_bytes += size;
    if (std::uniform_real_distribution<>()(random_) < options_.loss)
        return;
    std::size_t const index = to.value - 1U;
    duration const delay = nodes_[index]->zone == from.zone ? same_zone_delay : cross_zone_delay;
    schedule(now_ + delay, [this, index, bytes = std::move(bytes)] { deliver(index, bytes); });
}

void fleet::deliver(std::size_t to, std::string const& bytes)
{
    node& n = *nodes_[to];
    if (!n.running)
        return;
    n.counts.bytes_received += bytes.size() + ip_and_udp_header;
    ++n.counts.messages_received;
    {
        scoped_cpu_timer const timer(n.counts.busy_ns);
        auto const m = codec_.decode(bytes);
        if (!m)
            return;
        if (!std::holds_alternative<heartbeat>(m->message))
            n.counts.lease_bytes += bytes.size() + ip_and_udp_header;
        handle(n, m->message);
    }
    start_pull_if_behind(n);
}

void fleet::handle(node& n, peer_message const& m)
{
    if (auto const* h = std::get_if<heartbeat>(&m))
        n.members->on_heartbeat(*h, local_time(n));
    else if (auto const* q = std::get_if<lease_request>(&m))
        send(n, q->holder.host, n.granter->on_request(*q, local_time(n)));
    else if (auto const* r = std::get_if<lease_reply>(&m))
        n.holder->on_reply(*r, local_time(n));
}

// Pulls the missing changes from a live peer that has a higher revision.
void fleet::start_pull_if_behind(node& n)
{
    if (n.pulling || n.config >= store_revision_)
        return;
    scoped_cpu_timer const timer(n.counts.busy_ns);
    auto const peer = n.members->best_config_peer();
    if (!peer)
        return;
    n.pulling = true;
    schedule(now_ + pull_delay,
             [this, index = n.index, start_count = n.start_count, from = peer->value - 1U]
             { finish_pull(index, start_count, from); });
}

void fleet::finish_pull(std::size_t index, std::uint32_t start_count, std::size_t from)
{
    node& n = *nodes_[index];
    node& peer = *nodes_[from];
    if (!n.running || n.start_count != start_count)
        return;
    n.pulling = false;
    std::size_t const call = pull_call_bytes / 2;
    n.counts.bytes_sent += call;
    n.counts.pull_bytes += call;
    ++n.counts.messages_sent;
    if (!peer.running || peer.config <= n.config)
        return;
    // The snapshot that a restarted host pulls is not included; see docs/CAPACITY.md.
    std::size_t const reply = call + options_.change_bytes;
    n.counts.bytes_received += reply;
    n.counts.pull_bytes += reply;
    ++n.counts.messages_received;
    peer.counts.bytes_received += call;
    peer.counts.bytes_sent += reply;
    peer.counts.pull_bytes += call + reply;
    apply(n, peer.config);
}

void fleet::apply(node& n, revision r)
{
    if (r <= n.config)
        return;
    n.config = r;
    scoped_cpu_timer const timer(n.counts.busy_ns);
    n.members->set_local(r, list_.version, n.leaving ? host_state::leaving : host_state::live);
    n.heartbeats.clear();
    n.members->announce(local_time(n), n.heartbeats);
    send_heartbeats(n, n.heartbeats);
}

// Counts the store calls of a watcher: host list reads and blocking configuration watches.
void fleet::poll_store(node& n)
{
    if (!n.members->is_watcher())
        return;
    if (now_ >= n.next_list_poll)
    {
        ++n.counts.store_calls;
        n.next_list_poll = now_ + list_poll_period;
    }
    if (now_ >= n.next_watch)
    {
        ++n.counts.store_calls;
        n.next_watch = now_ + watch_timeout;
        if (n.config < store_revision_)
            apply(n, store_revision_);
    }
}

std::vector<double> fleet::measure_change_propagation()
{
    ++store_revision_.value;
    duration const begin = now_;
    for (auto& n : nodes_)
        if (n->running && n->members->is_watcher())
            schedule(now_ + store_watch_delay,
                     [this, index = n->index, start_count = n->start_count]
                     {
                         node& w = *nodes_[index];
                         if (!w.running || w.start_count != start_count)
                             return;
                         ++w.counts.store_calls; // the next watch
                         apply(w, store_revision_);
                     });
    std::vector<double> seconds(nodes_.size(), -1);
    for (auto const end = now_ + 30s; now_ < end;)
    {
        run_for(10ms);
        bool all = true;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
            if (nodes_[i]->running && seconds[i] < 0)
            {
                if (nodes_[i]->config >= store_revision_)
                    seconds[i] = static_cast<double>((now_ - begin) / 1us) * 1e-6;
                else
                    all = false;
            }
        if (all)
            break;
    }
    std::vector<double> result;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i]->running)
            result.push_back(seconds[i] < 0 ? 30.0 : seconds[i]);
    return result;
}

std::vector<double> fleet::crash(std::size_t index, bool same_zone, duration limit)
{
    node& dead = *nodes_[index];
    dead.running = false;
    duration const begin = now_;
    std::vector<double> seconds(nodes_.size(), -1);
    while (now_ < begin + limit)
    {
        run_for(50ms);
        bool all = true;
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            node const& n = *nodes_[i];
            if (!n.running || (n.zone == dead.zone) != same_zone || seconds[i] >= 0)
                continue;
            if (!n.members->find(dead.instance.host)->alive)
                seconds[i] = static_cast<double>((now_ - begin) / 1us) * 1e-6;
            else
                all = false;
        }
        if (all)
            break;
    }
    std::vector<double> result;
    for (std::size_t i = 0; i < nodes_.size(); ++i)
        if (nodes_[i]->running && (nodes_[i]->zone == dead.zone) == same_zone)
            result.push_back(seconds[i]);
    return result;
}

// Drains, stops and restarts the next host in order.
void fleet::restart_next_host()
{
    std::size_t const index = next_to_restart_++ % nodes_.size();
    node& n = *nodes_[index];
    if (!n.running || n.leaving)
        return;
    ++restarts_;
    n.leaving = true;
    n.members->set_local(n.config, list_.version, host_state::leaving);
    n.heartbeats.clear();
    {
        scoped_cpu_timer const timer(n.counts.busy_ns);
        n.members->announce(local_time(n), n.heartbeats);
        send_heartbeats(n, n.heartbeats);
    }
    schedule(now_ + drain_duration, [this, index] { nodes_[index]->running = false; });
    schedule(now_ + drain_duration + downtime, [this, index] { start(index); });
}

void fleet::sample()
{
    if (restart_interval_ > duration{} && now_ >= next_restart_)
    {
        restart_next_host();
        next_restart_ += restart_interval_;
    }
    std::size_t held = 0;
    for (auto const& n : nodes_)
        if (n->running)
        {
            held += n->holder->held_pools(local_time(*n)).size();
            for (member const& m : n->members->members())
                if (!m.alive && nodes_[m.instance.host.value - 1U]->running &&
                    m.instance.run == nodes_[m.instance.host.value - 1U]->instance.run)
                    ++false_suspicions_;
        }
    double const share =
        options_.pools == 0 ? 1 : static_cast<double>(held) / static_cast<double>(options_.pools);
    held_share_sum_ += share;
    ++held_samples_;
    min_held_ = std::min(min_held_, share);
    schedule(now_ + sample_period, [this] { sample(); });
}

double fleet::pools_held() const
{
    return held_samples_ == 0 ? 0 : held_share_sum_ / static_cast<double>(held_samples_);
}

} // namespace chivelever::scale
