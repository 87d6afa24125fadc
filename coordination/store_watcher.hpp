// Follows the platform's store on a watcher host: applies new changes, keeps the snapshot recent,
// and writes back what a restored store has lost.
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
// Also bounds how late a restored store is detected.
inline constexpr duration watch_timeout{10'000'000}; // 10 s

enum class watch_state : std::uint8_t
{
    starting,
    checking, // comparing the store with the log
    watching, // synchronized with the store
    diverged  // the store holds another change for a revision that is in force here
};

struct watch_result
{
    watch_state state{};
    bool reachable{};
    unsigned applied{};  // changes applied from the store
    unsigned repaired{}; // changes written back
    duration pause{};    // delay before the next step
    findings problems;   // unusable values in the store
};

// Each step makes a bounded number of calls, one of which may block for watch_timeout.
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
            // The store may have been restored during the outage.
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
    void load_snapshot();
    void reconcile();
    void wait_for_change();
    bool apply_stored(store_value const& value, revision rev);
    bool apply_pending();
    void verify_current();
    void repair();
    std::optional<revision> first_missing();
    bool write_back(revision rev);
    void write_snapshot(revision rev);
    store_value get(std::string const& key);
    void add_finding(std::string key, std::string message)
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
    std::uint64_t snapshot_done_{}; // last multiple of snapshot_interval covered by a snapshot
    watch_result result_;
};

template<platform_store Store>
void store_watcher<Store>::run()
{
    switch (state_)
    {
    case watch_state::starting:
        return load_snapshot();
    case watch_state::checking:
    case watch_state::diverged:
        return reconcile();
    case watch_state::watching:
        return wait_for_change();
    }
}

template<platform_store Store>
store_value store_watcher<Store>::get(std::string const& key)
{
    store_value stored = store_.get(key);
    if (stored.status == store_status::unreachable)
        result_.reachable = false;
    return stored;
}

// A host without a configuration installs the snapshot instead of reading every change.
template<platform_store Store>
void store_watcher<Store>::load_snapshot()
{
    store_value const stored = get(keys_.snapshot());
    if (!result_.reachable)
        return;
    state_ = watch_state::checking;
    if (stored.status != store_status::done)
        return;
    auto snapshot = codec_.decode_config(stored.value);
    if (!snapshot || !validate(*snapshot).empty())
        return add_finding(keys_.snapshot(), "value is not a valid configuration");
    snapshot_done_ = snapshot->rev.value / snapshot_interval * snapshot_interval;
    log_.install(std::move(*snapshot));
}

// Catches up with the store, then checks that the store is not behind.
template<platform_store Store>
void store_watcher<Store>::reconcile()
{
    if (apply_pending())
        verify_current();
}

// Applies the changes that the store has. Returns true if there are no more.
template<platform_store Store>
bool store_watcher<Store>::apply_pending()
{
    for (int n = 0; n < max_changes_per_step; ++n)
    {
        revision const next{log_.rev().value + 1};
        store_value const stored = get(keys_.change(next));
        if (stored.status == store_status::not_found)
            return true;
        if (!result_.reachable || !apply_stored(stored, next))
            return false;
    }
    return false;
}

// Applies a change read from the store. Returns false if it is unusable.
template<platform_store Store>
bool store_watcher<Store>::apply_stored(store_value const& value, revision rev)
{
    auto const change = codec_.decode_change(value.value);
    if (!change || change->rev != rev)
    {
        add_finding(keys_.change(rev), "value is not a change with this revision");
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
    if (log_.rev().value >= snapshot_done_ + snapshot_interval)
        write_snapshot(log_.rev());
    return true;
}

// Checks that the store holds the current revision. A store that lacks it was restored to an older
// state.
template<platform_store Store>
void store_watcher<Store>::verify_current()
{
    config_ptr const current = log_.current();
    if (current->rev.value == 0)
    {
        state_ = watch_state::watching;
        return;
    }
    store_value const stored = get(keys_.change(current->rev));
    if (!result_.reachable)
        return;
    if (stored.status == store_status::not_found)
        return repair();
    auto const change = codec_.decode_change(stored.value);
    bool const matches = change && change->change_id == current->last_change;
    state_ = matches ? watch_state::watching : watch_state::diverged;
    invariants::check(matches, "config.store_agrees",
                      "revision " + std::to_string(current->rev.value) + " differs in the store");
}

// The lowest revision of the kept history that the store lacks. Binary search is valid because
// repairs write in ascending order, which leaves no gaps above the restored state.
template<platform_store Store>
std::optional<revision> store_watcher<Store>::first_missing()
{
    std::uint64_t low = log_.history_start().value + 1;
    std::uint64_t high = log_.rev().value + 1;
    while (low < high)
    {
        std::uint64_t const middle = low + (high - low) / 2;
        store_value const stored = get(keys_.change({middle}));
        if (!result_.reachable)
            return {};
        if (stored.status == store_status::not_found)
            high = middle;
        else
            low = middle + 1;
    }
    return revision{low};
}

// Writes back what the store has lost. Several watchers may do so concurrently: each key is created
// only once, and all of them write the same change.
template<platform_store Store>
void store_watcher<Store>::repair()
{
    state_ = watch_state::checking;
    auto const from = first_missing();
    if (!from)
        return;
    revision const last = log_.rev();
    // Changes older than the kept history cannot be written; the snapshot replaces them.
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
    store_value const stored =
        store_.compare_and_swap(keys_.change(rev), codec_.encode_change(*change), 0);
    if (stored.status == store_status::unreachable)
        result_.reachable = false;
    else if (stored.status == store_status::done)
        ++result_.repaired;
    else
    {
        store_value const existing = get(keys_.change(rev));
        auto const other = existing.status == store_status::done
                               ? codec_.decode_change(existing.value)
                               : std::nullopt;
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

// Replaces the store's snapshot if it is older than the last multiple of snapshot_interval that
// does not exceed `rev`.
template<platform_store Store>
void store_watcher<Store>::write_snapshot(revision rev)
{
    store_value const stored = get(keys_.snapshot());
    if (!result_.reachable)
        return;
    auto const existing =
        stored.status == store_status::done ? codec_.decode_config(stored.value) : std::nullopt;
    std::uint64_t const due = rev.value / snapshot_interval * snapshot_interval;
    if (!existing || existing->rev.value < due)
    {
        config_ptr const config = log_.current();
        std::uint64_t const index = stored.status == store_status::done ? stored.index : 0;
        store_value const written =
            store_.compare_and_swap(keys_.snapshot(), codec_.encode_config(*config), index);
        if (written.status == store_status::unreachable)
        {
            result_.reachable = false;
            return;
        }
    }
    snapshot_done_ = due;
}

// Waits for the next change. On a timeout, checks that the store still has the current one.
template<platform_store Store>
void store_watcher<Store>::wait_for_change()
{
    revision const next{log_.rev().value + 1};
    store_value const stored = store_.watch(keys_.change(next), 0, watch_timeout);
    if (stored.status == store_status::unreachable)
        result_.reachable = false;
    else if (stored.status == store_status::done)
        apply_stored(stored, next);
    else
        verify_current();
}

} // namespace chivelever

#endif
