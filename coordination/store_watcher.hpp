// Follows the platform's store on a watcher: takes new changes, keeps the snapshot recent, and
// writes back what a restored store has lost.
#ifndef CHIVELEVER_COORDINATION_STORE_WATCHER_HPP
#define CHIVELEVER_COORDINATION_STORE_WATCHER_HPP

#include "coordination/concepts.hpp"
#include "coordination/config_log.hpp"
#include "coordination/store_sync.hpp"
#include "state/state.hpp"

#include <optional>
#include <string>
#include <utility>

namespace chivelever
{

inline constexpr std::uint64_t snapshot_interval = 64; // revisions
inline constexpr duration watch_time{10'000'000};      // 10 s: also how soon a restore is noticed

enum class watch_state : std::uint8_t
{
    starting,
    checking, // compares the store with the log
    watching, // in step with the store
    diverged  // the store has another change for a revision that is in force here
};

struct watch_result
{
    watch_state state{};
    bool reachable{};
    unsigned applied{};  // changes taken from the store
    unsigned repaired{}; // changes written back
    duration pause{};    // wait this long before the next step
    findings problems;   // values of the store that cannot be used
};

// Follows the store on a watcher. Each step makes a bounded number of calls, one of which may wait
// for watch_time.
template<platform_store Store>
class store_watcher
{
public:
    store_watcher(Store& store, config_log& log, store_codec codec, store_keys keys)
        : store_(store), log_(log), codec_(std::move(codec)), keys_(std::move(keys))
    {
    }

    template<random_source Random>
    watch_result step(Random& random)
    {
        result_ = {};
        result_.reachable = true;
        run();
        result_.state = state_;
        if (!result_.reachable || !result_.problems.empty() || state_ == watch_state::diverged)
        {
            // After an outage the store may have been restored.
            if (state_ == watch_state::watching)
                state_ = watch_state::checking;
            result_.pause = backoff_.next(random());
        }
        else
            backoff_.reset();
        return std::move(result_);
    }

private:
    void run();
    void start();
    void check();
    void watch();
    bool take(store_value const& value, revision rev);
    bool drain();
    void compare_own();
    void repair();
    std::optional<revision> first_missing();
    bool write_back(revision rev);
    void write_snapshot(revision at_least);
    store_value get(std::string const& key);
    void problem(std::string key, std::string message)
    {
        result_.problems.push_back({"", "store", std::move(key), 0, std::move(message)});
    }

    static constexpr int max_changes_per_step = 64;

    Store& store_;
    config_log& log_;
    store_codec codec_;
    store_keys keys_;
    jitter_backoff backoff_;
    watch_state state_{watch_state::starting};
    std::uint64_t snapshot_due_{}; // multiple of snapshot_interval that has been dealt with
    watch_result result_;
};

template<platform_store Store>
void store_watcher<Store>::run()
{
    switch (state_)
    {
    case watch_state::starting:
        return start();
    case watch_state::checking:
    case watch_state::diverged:
        return check();
    case watch_state::watching:
        return watch();
    }
}

template<platform_store Store>
store_value store_watcher<Store>::get(std::string const& key)
{
    store_value v = store_.get(key);
    if (v.status == store_status::unreachable)
        result_.reachable = false;
    return v;
}

// A host without any configuration takes the snapshot, so that it need not read every change.
template<platform_store Store>
void store_watcher<Store>::start()
{
    store_value const v = get(keys_.snapshot());
    if (!result_.reachable)
        return;
    state_ = watch_state::checking;
    if (v.status != store_status::done)
        return;
    auto snapshot = codec_.read_config(v.value);
    if (!snapshot || !validate(*snapshot).empty())
        return problem(keys_.snapshot(), "not a valid configuration");
    snapshot_due_ = snapshot->rev.value / snapshot_interval * snapshot_interval;
    log_.install(std::move(*snapshot));
}

// Catches up with the store, then makes sure that the store is not behind.
template<platform_store Store>
void store_watcher<Store>::check()
{
    if (drain())
        compare_own();
}

// Takes the changes that the store has. True if there are no more.
template<platform_store Store>
bool store_watcher<Store>::drain()
{
    for (int n = 0; n < max_changes_per_step; ++n)
    {
        revision const next{log_.rev().value + 1};
        store_value const v = get(keys_.change(next));
        if (v.status == store_status::not_found)
            return true;
        if (!result_.reachable || !take(v, next))
            return false;
    }
    return false;
}

// Applies a change read from the store. False if it cannot be used.
template<platform_store Store>
bool store_watcher<Store>::take(store_value const& value, revision rev)
{
    auto const change = codec_.read_change(value.value);
    if (!change || change->rev != rev)
    {
        problem(keys_.change(rev), "not a change to this revision");
        return false;
    }
    log_result applied = log_.apply(*change);
    if (applied.step == log_step::refused)
    {
        for (finding& f : applied.problems)
            result_.problems.push_back(std::move(f));
        return false;
    }
    if (applied.step == log_step::applied)
        ++result_.applied;
    if (log_.rev().value >= snapshot_due_ + snapshot_interval)
        write_snapshot(log_.rev());
    return true;
}

// A store that lacks the revision in force here was restored to an older state.
template<platform_store Store>
void store_watcher<Store>::compare_own()
{
    config_ptr const own = log_.current();
    if (own->rev.value == 0)
    {
        state_ = watch_state::watching;
        return;
    }
    store_value const v = get(keys_.change(own->rev));
    if (!result_.reachable)
        return;
    if (v.status == store_status::not_found)
        return repair();
    auto const change = codec_.read_change(v.value);
    bool const same = change && change->change_id == own->last_change;
    state_ = same ? watch_state::watching : watch_state::diverged;
    invariants::check(same, "config.store_agrees",
                      "revision " + std::to_string(own->rev.value) + " differs in the store");
}

// The lowest revision of the kept history that the store lacks. Repairs write in ascending order,
// so that what is present has no gaps above the restored state.
template<platform_store Store>
std::optional<revision> store_watcher<Store>::first_missing()
{
    std::uint64_t low = log_.history_start().value + 1;
    std::uint64_t high = log_.rev().value + 1;
    while (low < high)
    {
        std::uint64_t const middle = low + (high - low) / 2;
        store_value const v = get(keys_.change({middle}));
        if (!result_.reachable)
            return {};
        if (v.status == store_status::not_found)
            high = middle;
        else
            low = middle + 1;
    }
    return revision{low};
}

// Writes back what the store has lost. Several watchers may do so at once: each key is created only
// once, and all of them write the same change.
template<platform_store Store>
void store_watcher<Store>::repair()
{
    state_ = watch_state::checking;
    auto const from = first_missing();
    if (!from)
        return;
    revision const last = log_.rev();
    // Changes older than the kept history cannot be written; a snapshot stands for them.
    bool const history_lost = from->value == log_.history_start().value + 1 && from->value > 1;
    if (history_lost)
        write_snapshot(last);
    for (std::uint64_t r = from->value; r <= last.value && result_.reachable; ++r)
        if (!write_back({r}))
            return;
}

template<platform_store Store>
bool store_watcher<Store>::write_back(revision rev)
{
    auto const change = log_.change_at(rev);
    if (!change)
        return false;
    store_value const v =
        store_.compare_and_swap(keys_.change(rev), codec_.write_change(*change), 0);
    if (v.status == store_status::unreachable)
        result_.reachable = false;
    else if (v.status == store_status::done)
        ++result_.repaired;
    else
    {
        store_value const there = get(keys_.change(rev));
        auto const other =
            there.status == store_status::done ? codec_.read_change(there.value) : std::nullopt;
        if (other && other->change_id != change->change_id)
        {
            state_ = watch_state::diverged;
            invariants::check(false, "config.store_agrees",
                              "revision " + std::to_string(rev.value) + " differs in the store");
            return false;
        }
    }
    return result_.reachable;
}

// Replaces the store's snapshot if it is older than `at_least`.
template<platform_store Store>
void store_watcher<Store>::write_snapshot(revision at_least)
{
    store_value const v = get(keys_.snapshot());
    if (!result_.reachable)
        return;
    auto const there = v.status == store_status::done ? codec_.read_config(v.value) : std::nullopt;
    std::uint64_t const due = at_least.value / snapshot_interval * snapshot_interval;
    if (!there || there->rev.value < due)
    {
        config_ptr const config = log_.current();
        std::uint64_t const index = v.status == store_status::done ? v.index : 0;
        store_value const written =
            store_.compare_and_swap(keys_.snapshot(), codec_.write_config(*config), index);
        if (written.status == store_status::unreachable)
        {
            result_.reachable = false;
            return;
        }
    }
    snapshot_due_ = due;
}

// Waits for the next change. When none comes, makes sure that the store still has the last one.
template<platform_store Store>
void store_watcher<Store>::watch()
{
    revision const next{log_.rev().value + 1};
    store_value const v = store_.watch(keys_.change(next), 0, watch_time);
    if (v.status == store_status::unreachable)
        result_.reachable = false;
    else if (v.status == store_status::done)
        take(v, next);
    else
        compare_own();
}

} // namespace chivelever

#endif
