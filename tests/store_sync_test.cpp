// Submission and watching under store faults, in seeded random runs.
#include "config_sample.hpp"
#include "fake_store.hpp"
#include "transport/transport.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <set>

using namespace chivelever;
using sample::change;
using sample::fake_store;

namespace
{

constexpr std::uint64_t seeds = 250;
constexpr int rounds = 60;
constexpr std::size_t host_count = 6;
constexpr std::size_t watcher_count = 3;
constexpr int restore_rounds = 4; // a restore takes longer than heartbeats take to reach every host

store_keys const keys{"test"};

struct host
{
    explicit host(fake_store& store)
        : log(std::make_unique<config_log>()), submitter(store, *log, json_store_codec(), keys),
          watcher(store, *log, json_store_codec(), keys)
    {
    }
    std::unique_ptr<config_log> log;
    change_submitter<fake_store> submitter;
    store_watcher<fake_store> watcher;
    revision highest_seen; // highest revision received in heartbeats
    bool has_heartbeat{};  // has received a heartbeat since its start
    revision highest_applied;
};

struct submission
{
    config_change change;
    std::string outcome; // "", "accepted", "rejected" or "unknown"
    revision rev;
};

// A fleet, its operators and the store, driven by one seed.
class fleet_run
{
public:
    // Indexes are reused after a restore in every second run.
    explicit fleet_run(std::uint64_t seed)
        : random_(seed), store_(seed * 7 + 1), reuse_indexes_(seed % 2 == 0)
    {
        for (std::size_t i = 0; i < host_count; ++i)
            hosts_.push_back(std::make_unique<host>(store_));
    }

    void run()
    {
        for (round_ = 0; round_ < rounds; ++round_)
        {
            inject_faults();
            run_operators();
            for (std::size_t i = 0; i < watcher_count; ++i)
                hosts_[i]->watcher.step(random_);
            gossip();
            check_revisions();
        }
        finish_run();
        check_final_state();
    }

    std::size_t accepted() const { return accepted_; }
    std::size_t unknown() const { return unknown_; }
    std::size_t restores() const { return restores_; }

private:
    bool chance(int percent) { return random_() % 100 < static_cast<unsigned>(percent); }

    void inject_faults()
    {
        history_.push_back(store_.data);
        store_.fault.lost_request = chance(20) ? 0.3 : 0.02;
        store_.fault.lost_reply = chance(40) ? 0.6 : 0.02;
        store_.fault.delayed_write = chance(40) ? 0.5 : 0;
        if (chance(50))
            store_.apply_delayed_writes();
        if (outage_left_ > 0 && --outage_left_ == 0)
            end_outage();
        else if (outage_left_ == 0 && chance(6))
            begin_outage();
        store_.fault.down = outage_left_ > 0;
        if (chance(4))
            hosts_[random_() % host_count] = std::make_unique<host>(store_);
    }

    void begin_outage()
    {
        outage_left_ = restore_rounds + static_cast<int>(random_() % 4);
        restore_ = chance(50);
    }

    void end_outage()
    {
        if (!restore_)
            return;
        std::size_t const rollback_rounds = restore_rounds + random_() % 12;
        store_.restore(history_[history_.size() - std::min(rollback_rounds, history_.size())],
                       reuse_indexes_);
        ++restores_;
    }

    operation random_operation()
    {
        if (chance(30))
            return rotate_key{};
        fleet_setting_spec const& k = fleet_setting_specs[random_() % setting_count];
        auto const range = static_cast<std::uint64_t>(k.maximum - k.minimum + 1);
        return set_default{std::string(k.name),
                           k.minimum + static_cast<std::int64_t>(random_() % range)};
    }

    // Operators submit concurrently at random hosts, and retry a change with unknown outcome at
    // another host.
    void run_operators()
    {
        for (submission& s : submissions_)
            if (s.outcome == "unknown" && chance(50))
                query_or_retry(s);
        for (std::uint64_t n = random_() % 4; n > 0; --n)
        {
            std::uint64_t const id = submissions_.size() + 1;
            submissions_.push_back({change(0, id, {random_operation()}), "", {}});
            submit(submissions_.back());
        }
    }

    host& random_host() { return *hosts_[random_() % host_count]; }

    void query_or_retry(submission& s)
    {
        host& h = random_host();
        if (chance(30) && h.has_heartbeat)
        {
            auto const r = h.submitter.query_outcome(s.change.change_id);
            if (r.status == submit_status::accepted)
                record_result(s, r);
        }
        else
            submit(s);
    }

    void submit(submission& s)
    {
        host& h = random_host();
        if (!h.has_heartbeat)
            return;
        submit_options options;
        options.highest_seen = h.highest_seen;
        record_result(s, h.submitter.submit(s.change, options));
    }

    // An unknown outcome stays unknown until a retry is accepted or loses to another change: a
    // refused retry does not tell whether the first attempt was accepted.
    void record_result(submission& s, submit_result const& r)
    {
        if (r.status == submit_status::accepted)
        {
            CHECK((s.outcome != "accepted" || s.rev == r.rev));
            accepted_ += s.outcome == "accepted" ? 0 : 1;
            s.outcome = "accepted";
            s.rev = r.rev;
        }
        else if (r.status == submit_status::unknown)
        {
            s.outcome = "unknown";
            ++unknown_;
        }
        else if (s.outcome.empty())
            s.outcome = "rejected";
    }

    // Heartbeats reach every host within two rounds; changes are pulled from the host that has
    // them.
    void gossip()
    {
        host& newest = **std::max_element(hosts_.begin(), hosts_.end(),
                                          [](auto const& a, auto const& b)
                                          { return a->log->rev() < b->log->rev(); });
        for (auto& h : hosts_)
        {
            if (round_ % 2 == 0 && chance(50))
                continue;
            h->has_heartbeat = true;
            h->highest_seen = std::max(h->highest_seen, newest.log->rev());
            pull(*h, newest);
        }
    }

    static void pull(host& to, host& from)
    {
        if (auto const changes = from.log->changes_since(to.log->rev()))
            for (config_change const& c : *changes)
                CHECK(to.log->apply(c).step == log_step::applied);
        else
            to.log->install(*from.log->current());
    }

    void check_revisions()
    {
        for (auto& h : hosts_)
        {
            CHECK(h->log->rev() >= h->highest_applied);
            h->highest_applied = h->log->rev();
        }
    }

    void finish_run()
    {
        if (restore_ && outage_left_ > 0)
            end_outage();
        store_.fault = {};
        store_.apply_delayed_writes();
        for (round_ = 0; round_ < 20; ++round_)
        {
            for (std::size_t i = 0; i < watcher_count; ++i)
                hosts_[i]->watcher.step(random_);
            gossip();
        }
        for (submission& s : submissions_)
            if (s.outcome == "unknown")
                submit(s);
        for (round_ = 0; round_ < 20; ++round_)
            gossip();
    }

    void check_final_state()
    {
        for (auto const& h : hosts_)
            CHECK(*h->log->current() == *hosts_[0]->log->current());
        CHECK(hosts_[0]->watcher.step(random_).state == watch_state::watching);
        std::map<std::string, revision> found;
        fleet_config replayed = empty_config();
        revision const last = hosts_[0]->log->rev();
        auto const codec = json_store_codec();
        for (std::uint64_t r = 1; r <= last.value; ++r)
        {
            auto const it = store_.data.find(keys.change({r}));
            REQUIRE(it != store_.data.end());
            auto const c = codec.decode_change(it->second.first);
            CHECK(found.emplace(c->change_id, revision{r}).second); // never applied twice
            findings f;
            replayed = *value_or_findings([&] { return apply(replayed, *c); }, f);
        }
        CHECK(replayed == *hosts_[0]->log->current());
        for (submission const& s : submissions_)
        {
            auto const it = found.find(s.change.change_id);
            INFO("change " << s.change.change_id << " at " << s.rev.value << " found at "
                           << (it == found.end() ? 0 : it->second.value) << " last " << last.value);
            if (s.outcome == "accepted")
                CHECK((it != found.end() && it->second == s.rev)); // accepted changes persist
            if (s.outcome == "rejected")
                CHECK(it == found.end()); // a rejected change is never applied
        }
    }

    std::mt19937_64 random_;
    fake_store store_;
    bool reuse_indexes_;
    std::vector<std::unique_ptr<host>> hosts_;
    std::vector<submission> submissions_;
    std::vector<fake_store::content> history_;
    int round_{};
    int outage_left_{};
    bool restore_{};
    std::size_t accepted_{};
    std::size_t unknown_{};
    std::size_t restores_{};
};

} // namespace

// Guards against lost, duplicated and reverted changes under all store faults at once.
TEST_CASE("random runs: accepted changes are in force everywhere exactly once")
{
    auto const violations = invariants::violations();
    std::size_t accepted = 0;
    std::size_t unknown = 0;
    std::size_t restores = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        INFO("seed " << seed);
        fleet_run run(seed);
        run.run();
        accepted += run.accepted();
        unknown += run.unknown();
        restores += run.restores();
    }
    // Fails if the runs do not exercise the faults.
    CHECK(accepted > seeds * 10);
    CHECK(unknown > seeds);
    CHECK(restores > seeds / 2);
    CHECK(invariants::violations() == violations);
}

// Guards against a change or a snapshot that is lost because the restored store assigns the indexes
// of the lost writes again, and against a host that is behind and writes to the restored store.
TEST_CASE("a restore with reused indexes loses no change and lets no host write that is behind")
{
    constexpr std::uint64_t backed_up = 60;
    constexpr std::uint64_t written = 130; // two snapshots, both after the backup
    std::mt19937_64 random(1);
    fake_store store;
    host active(store);
    host behind(store);
    fake_store::content backup;
    for (std::uint64_t id = 1; id <= written; ++id)
    {
        REQUIRE(active.submitter.submit(change(0, id, {rotate_key{}}), {}).status ==
                submit_status::accepted);
        active.watcher.step(random);
        if (id <= backed_up)
            behind.log->apply(*active.log->change_at({id}));
        if (id == backed_up)
            backup = store.data;
    }
    config_ptr const before = active.log->current();
    store.restore(backup, true);

    submit_options options;
    options.highest_seen = active.log->rev();
    config_change const late = change(0, written + 1, {rotate_key{}});
    CHECK(behind.submitter.submit(late, options).status == submit_status::repairing);
    CHECK(active.submitter.submit(late, options).status == submit_status::repairing);
    CHECK(store.data == backup);

    for (int i = 0; i < 20; ++i)
        active.watcher.step(random);
    CHECK(*active.log->current() == *before);
    host started(store);
    for (int i = 0; i < 20; ++i)
        started.watcher.step(random);
    CHECK(*started.log->current() == *before);
    REQUIRE(active.submitter.submit(late, options).status == submit_status::accepted);
    CHECK(store.data.contains(keys.change({written + 1})));
    // Indexes were used twice; each change is still in the store once.
    for (std::uint64_t id = 1; id <= written; ++id)
        CHECK(store.data.contains(keys.change({id})));
}
