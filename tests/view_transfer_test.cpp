// Many hosts ask the one that has a new large view first. Replays what that does to its link,
// without a network: each host sends through a queue that is emptied at the rate of the link.
#include "tests/edge_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <vector>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t large = 1500;
constexpr double link_bytes_per_s = 10e6 / 8;
constexpr double row_bytes = 70;
constexpr duration fetch_timeout = 500ms;
constexpr duration heartbeat_period = 200ms;

// A fleet in which every host knows all others. One host gets a new view and announces it.
class fetch_replay
{
public:
    explicit fetch_replay(std::size_t hosts) : hosts_(hosts)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            hosts_[i].peers = std::make_unique<peer_exchange>(address(i), i + 1);
        for (std::size_t i = 0; i < hosts; ++i)
            for (std::size_t j = 0; j < hosts; ++j)
                if (i != j)
                    hear(i, j, old_);
        for (host& h : hosts_)
            h.peers->sample_hosts(now_);
    }

    void run(duration time)
    {
        obtain(0);
        for (std::size_t i = 1; i < hosts_.size(); ++i)
            send(0, 100, [this, i] { hear(i, 0, new_); });
        for (time_point const end = edge_start + time;
             !events_.empty() && events_.begin()->first < end;)
        {
            auto const next = events_.extract(events_.begin());
            now_ = next.key();
            next.mapped()();
        }
    }

    // Until the last host had the view; the largest duration if some have not got it.
    duration last_obtained() const
    {
        duration last{};
        for (host const& h : hosts_)
            last = std::max(last, h.has_view ? h.obtained_at - edge_start
                                             : std::numeric_limits<duration>::max());
        return last;
    }
    duration longest_queue{}; // time that a packet waited at a link

private:
    struct host
    {
        std::unique_ptr<peer_exchange> peers;
        view_transfers transfers;
        time_point link_free_at{};
        time_point obtained_at{};
        bool has_view{};
        bool fetching{};
    };

    static peer_address address(std::size_t i)
    {
        return {static_cast<std::uint32_t>(0x0A000001 + i), "z" + std::to_string(i % 3)};
    }
    view_version const& version(std::size_t i) const { return hosts_[i].has_view ? new_ : old_; }
    void at(duration delay, std::function<void()> f)
    {
        events_.emplace(now_ + delay, std::move(f));
    }

    // Calls `f` when the link of `from` has sent the bytes.
    void send(std::size_t from, double bytes, std::function<void()> f)
    {
        host& h = hosts_[from];
        longest_queue = std::max(longest_queue, h.link_free_at - now_);
        auto const sending = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(bytes / link_bytes_per_s));
        h.link_free_at = std::max(h.link_free_at, now_) + sending;
        at(h.link_free_at - now_ + 5ms, std::move(f));
    }

    void hear(std::size_t i, std::size_t from, view_version const& v)
    {
        peer_heartbeat b;
        b.sender = address(from);
        b.as_of = v.as_of;
        b.digest = v.digest;
        b.config_version = v.config_version;
        b.known_hosts = static_cast<std::uint32_t>(hosts_.size());
        if (hosts_[i].peers->on_heartbeat(b, version(i), now_).newer && !hosts_[i].fetching)
        {
            hosts_[i].fetching = true;
            at(hosts_[i].peers->fetch_delay(), [this, i] { fetch(i); });
        }
    }

    void fetch(std::size_t i)
    {
        auto const source = hosts_[i].peers->newer_peer(version(i), now_);
        if (!source)
        {
            hosts_[i].fetching = false;
            return;
        }
        std::size_t const from = *source - 0x0A000001;
        auto const answered = std::make_shared<bool>(false);
        at(fetch_timeout,
           [this, i, answered]
           {
               if (!*answered)
                   hosts_[i].fetching = false;
           });
        send(i, 200,
             [this, i, from, answered]
             {
                 auto slot = hosts_[from].transfers.begin(large);
                 send(from, slot ? large * row_bytes : 200,
                      [this, i, answered, slot]
                      {
                          if (!hosts_[i].fetching)
                              return;
                          *answered = true;
                          if (slot)
                              obtain(i);
                          else
                              at(hosts_[i].peers->fetch_retry_delay(), [this, i] { fetch(i); });
                      });
             });
    }

    void obtain(std::size_t i)
    {
        hosts_[i].has_view = true;
        hosts_[i].obtained_at = now_;
        hosts_[i].fetching = false;
        beat(i);
    }

    void beat(std::size_t i)
    {
        for (peer_address const& p : hosts_[i].peers->heartbeat_targets())
            send(i, 300, [this, i, p] { hear(p.ip - 0x0A000001, i, new_); });
        at(heartbeat_period, [this, i] { beat(i); });
    }

    view_version const old_{100, 1, 3, edge_start};
    view_version const new_{200, 2, 4, edge_start};
    std::vector<host> hosts_;
    time_point now_{edge_start};
    std::multimap<time_point, std::function<void()>> events_;
};

} // namespace

// Guards against a host that is cut off by the views that it sends: at 10 Mbit/s, 93 views of 1,500
// rows hold up its link for eight seconds, its own calls wait behind them, and it goes on to place
// flows at upstreams that have left.
TEST_CASE("the first host with a large view keeps its link free", "[edge][fleet][transfers]")
{
    for (std::size_t const hosts : {9UL, 94UL, 195UL})
    {
        fetch_replay fleet(hosts);
        fleet.run(6s);
        INFO(hosts << " hosts, last after " << fleet.last_obtained() / 1ms << " ms, longest queue "
                   << fleet.longest_queue / 1ms << " ms");
        CHECK(fleet.longest_queue < fetch_timeout);
        CHECK(fleet.last_obtained() < 3s); // a configuration is in force after 3 s
    }
}

// Guards against slots that stay taken after a transfer, and against a bound on small views, which
// a host with many peers sends all the time.
TEST_CASE("large views are bounded, small ones are not", "[edge][transfers]")
{
    view_transfers transfers;
    std::vector<view_transfers::slot> small(100);
    for (auto& slot : small)
        slot = transfers.begin(500);
    CHECK(std::ranges::none_of(small, [](auto const& s) { return s == nullptr; }));
    auto first = transfers.begin(large);
    auto const second = transfers.begin(501);
    CHECK(first != nullptr);
    CHECK(second != nullptr);
    CHECK(transfers.begin(large) == nullptr);
    CHECK(transfers.active() == 2);
    first.reset();
    CHECK(transfers.begin(large) != nullptr);
}

// Guards against a bound on less than what is sent.
TEST_CASE("the size of a view is bounded from above", "[edge][view][transfers]")
{
    deployment_view v;
    std::vector<view_change> changes;
    std::vector<endpoint> routes{desk_route};
    std::vector<upstream_entry> const upstreams{make_upstream(1), make_upstream(2)};
    v.apply(make_operators(20, 1, routes), {20, upstreams}, edge_start, edge_start, changes);
    for (std::uint16_t i = 0; i < 600; ++i)
        routes.push_back({0xC6120001, static_cast<std::uint16_t>(2000 + i)});
    v.apply(make_operators(21, 2, routes), {21, upstreams}, edge_start, edge_start, changes);
    for (auto const& [as_of, version] :
         {std::pair{store_position{}, 0UL}, std::pair{store_position{20}, 1UL},
          std::pair{store_position{20}, 7UL}, std::pair{store_position{21}, 2UL}})
    {
        peer_view const sent = v.changes_since(as_of, version, edge_start);
        std::size_t const routes_sent =
            sent.operators.config ? sent.operators.config->routes.size() : 0;
        CHECK(v.rows_since(as_of, version) >= routes_sent + sent.upstreams.entries.size());
    }
    CHECK(v.rows_since({20}, 1) >= 600);
    CHECK(v.rows_since({22}, 2) == 0);
}

} // namespace chivelever
