// No error in the times of this host may make an upstream warm too early: its cold start ends at a
// host no sooner than at the upstream, whatever the order and the delays of calls and messages.
#include "protocol/protocol.hpp"
#include "tests/edge_fixture.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

constexpr duration cold_time = 2s;

upstream_entry cold_upstream(int number, duration left, store_position revision)
{
    upstream_entry e = make_upstream(number);
    e.cold_left_ms = static_cast<std::uint32_t>(left / 1ms);
    e.revision = revision;
    return e;
}

time_point cold_until(deployment_view const& v, int number)
{
    known_upstream const* const u = v.find(make_flow_token(make_upstream(number).name));
    return u == nullptr ? time_point{} : u->cold_until;
}

// Several hosts, a store and its upstreams, without a network. Calls and messages take a random
// time, and hosts may stand still before they process a response.
class cold_start_replay
{
public:
    cold_start_replay(std::uint64_t seed, bool restores) : restores_(restores), random_(seed)
    {
        for (int i = 0; i < upstream_count; ++i)
            write(i, {});
        backup_ = entries_;
    }

    void run()
    {
        at(1ms, [this] { turn_cold(); });
        at(2ms, [this] { check_in(); });
        for (std::size_t h = 0; h < hosts_.size(); ++h)
            at(random_in(0ms, 800ms), [this, h] { read(h); });
        if (restores_)
            at(1500ms, [this] { take_backup(); });
        while (now_ < edge_start + 30s)
        {
            auto const next = events_.extract(events_.begin());
            now_ = next.key();
            next.mapped()();
        }
    }

    int checks{};
    int too_early{};
    duration latest{}; // by which a cold start ended later at a host than at the upstream

private:
    static constexpr int upstream_count = 4;
    static constexpr std::size_t host_count = 4;
    static constexpr duration max_delay = 500ms;

    struct host
    {
        deployment_view view;
        // Cold starts of which the host has had the entry.
        std::array<int, upstream_count> known{};
    };
    struct upstream
    {
        time_point cold_until{};
        int cold_starts{};
        store_position announced; // position of the entry that announced the latest one
    };

    duration random_in(duration low, duration high)
    {
        return duration(
            std::uniform_int_distribution<duration::rep>(low.count(), high.count())(random_));
    }
    int random_below(int n) { return std::uniform_int_distribution<>(0, n - 1)(random_); }
    void at(duration delay, std::function<void()> f)
    {
        events_.emplace(now_ + delay, std::move(f));
    }

    // --- store and upstreams

    void write(int number, duration left)
    {
        ++revision_;
        entries_[number] = cold_upstream(number, left, {era_, revision_});
        entries_[number].write_number = ++writes_;
    }

    void turn_cold()
    {
        int const number = random_below(upstream_count);
        upstream& u = upstreams_[static_cast<std::size_t>(number)];
        if (now_ >= u.cold_until)
        {
            u.cold_until = now_ + cold_time;
            ++u.cold_starts;
            write(number, cold_time);
            u.announced = {era_, revision_};
        }
        at(random_in(200ms, 900ms), [this] { turn_cold(); });
    }

    // Upstreams write their entries again when what they say has changed.
    void check_in()
    {
        for (int i = 0; i < upstream_count; ++i)
        {
            duration const left =
                std::max(duration{}, upstreams_[static_cast<std::size_t>(i)].cold_until - now_);
            auto const left_ms = std::chrono::ceil<std::chrono::milliseconds>(left);
            if (entries_[i].cold_left_ms != static_cast<std::uint32_t>(left_ms.count()) ||
                entries_[i].revision.era != era_)
                write(i, left_ms);
        }
        at(1200ms, [this] { check_in(); });
    }

    void take_backup()
    {
        backup_ = entries_;
        backup_revision_ = revision_;
        at(random_in(100ms, 2s), [this] { restore(); });
    }

    void restore()
    {
        ++era_;
        entries_ = backup_;
        revision_ = backup_revision_;
        for (auto& [number, e] : entries_)
            e.revision.era = era_;
        at(random_in(3s, 5s), [this] { take_backup(); });
    }

    // --- hosts

    void read(std::size_t h)
    {
        time_point const read_at = now_;
        at(random_in(0ms, max_delay),
           [this, h, read_at]
           {
               operator_listing const o = make_operators({era_, revision_}, 1);
               upstream_listing u{o.as_of, {}};
               for (auto const& [number, e] : entries_)
                   u.entries.push_back(e);
               at(random_in(0ms, max_delay),
                  [this, h, read_at, o, u]
                  {
                      hosts_[h].view.apply(o, u, read_at, now_, changes_);
                      check(h);
                  });
           });
        at(random_in(300ms, 1500ms), [this, h] { random_below(2) == 0 ? read(h) : fetch(h); });
    }

    void fetch(std::size_t h)
    {
        std::size_t const from =
            (h + 1 + static_cast<std::size_t>(random_below(host_count - 1))) % host_count;
        time_point const requested = now_;
        at(random_in(0ms, max_delay),
           [this, h, from, requested]
           {
               deployment_view const& source = hosts_[from].view;
               if (!source.loaded())
                   return;
               store_position const base =
                   random_below(2) == 0 ? store_position{} : hosts_[h].view.version().as_of;
               peer_view const v = source.changes_since(base, 0, now_);
               at(random_in(0ms, max_delay),
                  [this, h, v, requested]
                  {
                      hosts_[h].view.apply(v, now_, changes_, now_ - requested);
                      check(h);
                  });
           });
        at(random_in(300ms, 1500ms), [this, h] { random_below(2) == 0 ? read(h) : fetch(h); });
    }

    void check(std::size_t h)
    {
        host& self = hosts_[h];
        for (int i = 0; i < upstream_count; ++i)
        {
            upstream const& u = upstreams_[static_cast<std::size_t>(i)];
            known_upstream const* const known =
                self.view.find(make_flow_token(make_upstream(i).name));
            if (known == nullptr)
                continue;
            int& seen = self.known[static_cast<std::size_t>(i)];
            bool const has_entry = known->entry.revision.era == u.announced.era &&
                                   known->entry.revision >= u.announced;
            if (has_entry)
                seen = u.cold_starts;
            if (seen != u.cold_starts || now_ >= u.cold_until)
                continue;
            ++checks;
            if (known->cold_until < u.cold_until)
                ++too_early;
            latest = std::max<duration>(latest, known->cold_until - u.cold_until);
        }
    }

    bool restores_;
    std::mt19937_64 random_;
    time_point now_{edge_start};
    std::multimap<time_point, std::function<void()>> events_;
    std::uint64_t era_{1};
    std::uint64_t revision_{10};
    std::uint64_t backup_revision_{10};
    std::uint64_t writes_{};
    std::map<int, upstream_entry> entries_;
    std::map<int, upstream_entry> backup_;
    std::array<upstream, upstream_count> upstreams_;
    std::array<host, host_count> hosts_;
    std::vector<view_change> changes_;
};

void replay(bool restores)
{
    int checks = 0;
    duration latest{};
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        cold_start_replay r(seed, restores);
        r.run();
        CAPTURE(seed);
        CHECK(r.too_early == 0);
        checks += r.checks;
        latest = std::max(latest, r.latest);
    }
    CHECK(checks > 2000);
    // Each of the few steps from the upstream to a host adds its delays, and no more than the whole
    // cold start can be counted twice.
    CHECK(latest <= cold_time);
}

} // namespace

// Guards against a cold upstream that gets the load of a warm one while the store is slow: its
// entry was written after the reading had begun.
TEST_CASE("a cold start is counted from the end of the reading", "[edge][view][cold]")
{
    deployment_view v;
    std::vector<view_change> changes;
    time_point const read_at = edge_start;
    time_point const received = edge_start + 550ms;
    v.apply(make_operators(20, 1), {20, {cold_upstream(1, cold_time, 20)}}, read_at, received,
            changes);
    CHECK(cold_until(v, 1) == received + cold_time);
    // The view itself may have been overtaken since the first call.
    CHECK(v.version().confirmed_at == read_at);
}

// Guards against the same through another host: its view was sent at some time after the request,
// and has its age as of then.
TEST_CASE("a cold start in another host's view is counted from its arrival", "[edge][view][cold]")
{
    deployment_view sender;
    deployment_view receiver;
    std::vector<view_change> changes;
    sender.apply(make_operators(20, 1), {20, {cold_upstream(1, cold_time, 20)}}, edge_start,
                 edge_start + 700us, changes);
    time_point const sent = edge_start + 400ms;
    peer_view const passed_on = sender.changes_since({}, 0, sent);
    duration const on_the_way = GENERATE(duration{}, duration{100ms});
    receiver.apply(passed_on, sent + on_the_way, changes, 300ms + on_the_way);
    CHECK(cold_until(receiver, 1) >= cold_until(sender, 1));
    CHECK(cold_until(receiver, 1) <= cold_until(sender, 1) + on_the_way + 1ms);
    CHECK(receiver.version().confirmed_at <= sender.version().confirmed_at);
}

// Guards against an upstream that counts as warm after a restore of the store from a backup: the
// entry of the backup may be older than its cold start, or the first one that announces it.
TEST_CASE("a restore of the store ends no cold start", "[edge][view][cold]")
{
    std::vector<view_change> changes;
    upstream_entry warm = cold_upstream(1, {}, {1, 15});
    warm.write_number = 3;
    upstream_entry cold = cold_upstream(1, cold_time, {1, 20});
    cold.write_number = 4;
    deployment_view v;
    SECTION("the backup is older than the cold start")
    {
        v.apply(make_operators({1, 20}, 1), {{1, 20}, {cold}}, edge_start, edge_start, changes);
        upstream_entry restored = warm;
        restored.revision.era = 2;
        v.apply(make_operators({2, 15}, 1), {{2, 15}, {restored}}, edge_start + 500ms,
                edge_start + 500ms, changes);
        CHECK(cold_until(v, 1) == edge_start + cold_time);
    }
    SECTION("the first listing after the restore announces the cold start")
    {
        v.apply(make_operators({1, 15}, 1), {{1, 15}, {warm}}, edge_start, edge_start, changes);
        upstream_entry written = cold;
        written.revision = {2, 17};
        v.apply(make_operators({2, 17}, 1), {{2, 17}, {written}}, edge_start + 500ms,
                edge_start + 500ms, changes);
        CHECK(cold_until(v, 1) == edge_start + 500ms + cold_time);
        // The upstream itself says when it is warm.
        upstream_entry again = warm;
        again.revision = {2, 18};
        again.write_number = 5;
        v.apply(make_operators({2, 18}, 1), {{2, 18}, {again}}, edge_start + 900ms,
                edge_start + 900ms, changes);
        CHECK(cold_until(v, 1) == time_point{});
    }
    SECTION("the number of the entry is passed on to other hosts")
    {
        v.apply(make_operators({1, 15}, 1), {{1, 15}, {warm}}, edge_start, edge_start, changes);
        deployment_view reader;
        upstream_entry written = cold;
        written.revision = {2, 17};
        reader.apply(make_operators({2, 17}, 1), {{2, 17}, {written}}, edge_start, edge_start,
                     changes);
        auto const received = decode_view(encode_view(reader.changes_since({}, 0, edge_start)));
        REQUIRE(received);
        v.apply(*received, edge_start + 10ms, changes);
        CHECK(cold_until(v, 1) >= edge_start + cold_time);
    }
}

// Guards against the load of a warm zone on upstreams that turned cold before their zone returned,
// while the restored store still lists their entries of before.
TEST_CASE("a zone that returns after a restore is cold until its entries are new",
          "[edge][view][cold]")
{
    deployment_view v;
    std::vector<view_change> changes;
    operator_listing evacuated = make_operators({1, 20}, 1);
    evacuated.evacuated_zones = {"akl"};
    upstream_entry e = cold_upstream(1, {}, {1, 15});
    e.write_number = 3;
    v.apply(evacuated, {{1, 20}, {e}}, edge_start, edge_start, changes);
    evacuated.as_of = {2, 20};
    e.revision.era = 2;
    time_point now = edge_start + 1s;
    v.apply(evacuated, {{2, 20}, {e}}, now, now, changes);
    now += 300ms;
    v.apply(make_operators({2, 21}, 1), {{2, 21}, {e}}, now, now, changes);
    CHECK(v.accepts_new_flows(*v.find(make_flow_token(e.name)), now));
    CHECK(cold_until(v, 1) > now + 1s);
    e.revision = {2, 22};
    e.write_number = 5;
    now += 300ms;
    v.apply(make_operators({2, 22}, 1), {{2, 22}, {e}}, now, now, changes);
    CHECK(cold_until(v, 1) == time_point{});
    // Without a restore, the entries are those of the present.
    now += 10s;
    evacuated.as_of = {2, 23};
    v.apply(evacuated, {{2, 23}, {e}}, now, now, changes);
    v.apply(make_operators({2, 24}, 1), {{2, 24}, {e}}, now, now, changes);
    CHECK(cold_until(v, 1) == time_point{});
}

// Guards against any order of slow calls, late responses and relayed views that ends a cold start
// too early.
TEST_CASE("no order of calls and delays makes an upstream warm too early", "[edge][view][cold]")
{
    replay(false);
}

TEST_CASE("restores beside slow calls make no upstream warm too early", "[edge][view][cold]")
{
    replay(true);
}

} // namespace chivelever
