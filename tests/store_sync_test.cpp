// Submitting and watching under the faults of the store, in seeded random runs.
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
constexpr int restore_rounds = 4; // a restore takes longer than a heartbeat

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
    revision seen;  // highest revision in heartbeats
    bool heard{};   // has heard from other hosts since its start
    revision floor; // highest revision that it had in force
};

struct submission
{
    config_change change;
    std::string answer; // "", "accepted", "rejected" or "unknown"
    revision rev;
};

// One fleet, its operators and the store, driven by one seed.
class fleet_run
{
public:
    explicit fleet_run(std::uint64_t seed) : random_(seed), store_(seed * 7 + 1)
    {
        for (std::size_t i = 0; i < host_count; ++i)
            hosts_.push_back(std::make_unique<host>(store_));
    }

    void run()
    {
        for (round_ = 0; round_ < rounds; ++round_)
        {
            disturb();
            operate();
            for (std::size_t i = 0; i < watcher_count; ++i)
                hosts_[i]->watcher.step(random_);
            gossip();
            check_floors();
        }
        settle();
        check_end();
    }

    std::size_t accepted() const { return accepted_; }
    std::size_t unknown() const { return unknown_; }
    std::size_t restores() const { return restores_; }

private:
    bool chance(int percent) { return random_() % 100 < static_cast<unsigned>(percent); }

    void disturb()
    {
        history_.push_back(store_.data);
        store_.fault.lost_question = chance(20) ? 0.3 : 0.02;
        store_.fault.lost_answer = chance(40) ? 0.6 : 0.02;
        store_.fault.late_write = chance(40) ? 0.5 : 0;
        if (chance(50))
            store_.land_late_writes();
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
        std::size_t const back = restore_rounds + random_() % 12;
        store_.restore(history_[history_.size() - std::min(back, history_.size())]);
        ++restores_;
    }

    operation random_operation()
    {
        if (chance(30))
            return rotate_key{};
        setting_key const& k = setting_keys[random_() % setting_count];
        auto const range = static_cast<std::uint64_t>(k.maximum - k.minimum + 1);
        return set_default{std::string(k.name),
                           k.minimum + static_cast<std::int64_t>(random_() % range)};
    }

    // Operators race each other at any host, and repeat what has an unknown outcome at another.
    void operate()
    {
        for (submission& s : submissions_)
            if (s.answer == "unknown" && chance(50))
                ask_or_repeat(s);
        for (std::uint64_t n = random_() % 4; n > 0; --n)
        {
            std::uint64_t const id = submissions_.size() + 1;
            submissions_.push_back({change(0, id, {random_operation()}), "", {}});
            submit(submissions_.back());
        }
    }

    host& random_host() { return *hosts_[random_() % host_count]; }

    void ask_or_repeat(submission& s)
    {
        host& h = random_host();
        if (chance(30) && h.heard)
        {
            auto const r = h.submitter.ask(s.change.change_id);
            if (r.status == submit_status::accepted)
                take(s, r);
        }
        else
            submit(s);
    }

    void submit(submission& s)
    {
        host& h = random_host();
        if (!h.heard)
            return;
        submit_options options;
        options.highest_seen = h.seen;
        take(s, h.submitter.submit(s.change, options));
    }

    // An outcome that is unknown once stays so until a repetition is accepted or loses its race:
    // the refusal of a repetition says nothing about the first attempt.
    void take(submission& s, submit_result const& r)
    {
        if (r.status == submit_status::accepted)
        {
            CHECK((s.answer != "accepted" || s.rev == r.rev));
            accepted_ += s.answer == "accepted" ? 0 : 1;
            s.answer = "accepted";
            s.rev = r.rev;
        }
        else if (r.status == submit_status::unknown)
        {
            s.answer = "unknown";
            ++unknown_;
        }
        else if (s.answer.empty())
            s.answer = "rejected";
    }

    // Heartbeats reach everybody within two rounds; changes are pulled from the host that has them.
    void gossip()
    {
        host& newest = **std::max_element(hosts_.begin(), hosts_.end(),
                                          [](auto const& a, auto const& b)
                                          { return a->log->rev() < b->log->rev(); });
        for (auto& h : hosts_)
        {
            if (round_ % 2 == 0 && chance(50))
                continue;
            h->heard = true;
            h->seen = std::max(h->seen, newest.log->rev());
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

    void check_floors()
    {
        for (auto& h : hosts_)
        {
            CHECK(h->log->rev() >= h->floor);
            h->floor = h->log->rev();
        }
    }

    void settle()
    {
        if (restore_ && outage_left_ > 0)
            end_outage();
        store_.fault = {};
        store_.land_late_writes();
        for (round_ = 0; round_ < 20; ++round_)
        {
            for (std::size_t i = 0; i < watcher_count; ++i)
                hosts_[i]->watcher.step(random_);
            gossip();
        }
        for (submission& s : submissions_)
            if (s.answer == "unknown")
                submit(s);
        for (round_ = 0; round_ < 20; ++round_)
            gossip();
    }

    void check_end()
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
            auto const c = codec.read_change(it->second.first);
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
            if (s.answer == "accepted")
                CHECK((it != found.end() && it->second == s.rev)); // nothing accepted is lost
            if (s.answer == "rejected")
                CHECK(it == found.end()); // "not accepted" is true
        }
    }

    std::mt19937_64 random_;
    fake_store store_;
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

// Guards against lost, doubled and reverted changes under every fault of the store at once.
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
    // The runs are of use only if they meet the faults.
    CHECK(accepted > seeds * 10);
    CHECK(unknown > seeds);
    CHECK(restores > seeds / 2);
    CHECK(invariants::violations() == violations);
}
