// Submits a configuration change to the platform's store, and finds out what became of it.
//
// A restored store is detected by reading back the key of the revision in force. One case is left
// to the caller: a host that is behind must know so from heartbeats (submit_options::highest_seen),
// which takes them less time than the restoring of a store.
#ifndef CHIVELEVER_COORDINATION_CHANGE_SUBMITTER_HPP
#define CHIVELEVER_COORDINATION_CHANGE_SUBMITTER_HPP

#include "coordination/concepts.hpp"
#include "coordination/config_log.hpp"
#include "coordination/store_sync.hpp"
#include "state/state.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

namespace chivelever
{

enum class submit_status : std::uint8_t
{
    accepted,
    refused,      // findings
    conflict,     // another change was first
    not_accepted, // certain: the store is unreachable and nothing was written
    repairing,    // certain: this host or the store has to catch up first
    unknown       // the change may have been accepted; ask again with its change id
};

struct submit_result
{
    submit_status status{};
    revision rev;                        // of the accepted change, or where it was tried
    std::string message;                 // for operators
    std::optional<config_change> winner; // of a conflict
    findings problems;                   // if refused
};

struct submit_options
{
    revision in_force_everywhere; // see config_rules.hpp
    revision highest_seen;        // in heartbeats of other hosts
    // What the operator saw. Later changes that touch the same names are a conflict.
    std::optional<revision> base;
};

// How the change `by` is named in a conflict.
std::string conflict_message(std::optional<config_change> const& by);

// Changes are looked up in the store this far back before one is written, so that one which was
// already accepted is not accepted again. At 1,200 changes a day this is over an hour.
inline constexpr std::uint64_t repeat_window = 64;
inline constexpr int max_rebases = 8;        // on top of independent changes, in one submission
inline constexpr int max_write_attempts = 3; // of one key
template<platform_store Store>
class change_submitter
{
public:
    change_submitter(Store& store, config_log& log, store_codec codec, store_keys keys)
        : store_(store), log_(log), codec_(std::move(codec)), keys_(std::move(keys))
    {
    }

    // Offers the change to the store at the next revision. An accepted change is applied to the
    // log. Repeating a call with the same change id never applies the change twice.
    submit_result submit(config_change change, submit_options const& options);

    // The outcome of an earlier submission, without writing.
    submit_result ask(std::string const& change_id);

private:
    struct stored
    {
        store_status status{};
        std::optional<config_change> change;
    };

    stored read(revision rev);
    std::optional<submit_result> check_store(fleet_config const& config,
                                             std::string const& change_id, bool repeated);
    std::optional<submit_result> find_earlier(std::string const& change_id, bool repeated);
    std::optional<submit_result> check_base(config_change const& change,
                                            submit_options const& options) const;
    submit_result create(config_change const& change, bool repeated);
    submit_result compare(config_change const& change, stored const& found);
    submit_result accepted(config_change const& change);
    submit_result unreachable(std::string const& change_id, bool repeated) const;

    bool is_pending(std::string const& change_id) const;
    void set_pending(std::string const& change_id, revision rev);
    void clear_pending(std::string const& change_id);

    static constexpr std::size_t max_pending = 1024;

    Store& store_;
    config_log& log_;
    store_codec codec_;
    store_keys keys_;
    mutable std::mutex mutex_;
    std::map<std::string, revision> pending_; // outcome unknown, with the revision that was tried
};

template<platform_store Store>
submit_result change_submitter<Store>::submit(config_change change, submit_options const& options)
{
    if (auto const known = log_.find_change(change.change_id))
        return accepted(*known);
    bool const repeated = is_pending(change.change_id);
    revision const seen = std::max(options.highest_seen, options.base.value_or(revision{}));
    if (seen > log_.rev())
        return {repeated ? submit_status::unknown : submit_status::repairing,
                log_.rev(),
                "this host is behind revision " + std::to_string(seen.value) + "; try again",
                {},
                {}};
    submit_result result;
    for (int attempt = 0; attempt < max_rebases; ++attempt)
    {
        config_ptr const config = log_.current();
        change.rev = {config->rev.value + 1};
        if (auto refusal = check_store(*config, change.change_id, repeated))
            return std::move(*refusal);
        if (attempt == 0)
            if (auto earlier = find_earlier(change.change_id, repeated))
                return std::move(*earlier);
        if (auto refusal = check_base(change, options))
            return std::move(*refusal);
        findings problems;
        if (!value_or_findings([&] { return apply(*config, change, options.in_force_everywhere); },
                               problems))
            return {submit_status::refused, config->rev, "refused", {}, std::move(problems)};
        result = create(change, repeated);
        if (result.status != submit_status::conflict || !result.winner)
            return result;
        // The winner is in force from here on, whether or not this change follows it.
        log_.apply(*result.winner);
        if (!independent(change, *result.winner))
            return result;
    }
    return result;
}

template<platform_store Store>
auto change_submitter<Store>::read(revision rev) -> stored
{
    store_value const v = store_.get(keys_.change(rev));
    stored out{v.status, {}};
    if (v.status == store_status::done)
        out.change = codec_.read_change(v.value);
    return out;
}

// Refuses to write to a store that does not hold the revision in force.
template<platform_store Store>
std::optional<submit_result> change_submitter<Store>::check_store(fleet_config const& config,
                                                                  std::string const& change_id,
                                                                  bool repeated)
{
    if (config.rev.value == 0)
        return {};
    stored const own = read(config.rev);
    if (own.status == store_status::unreachable)
        return unreachable(change_id, repeated);
    if (own.change && own.change->change_id == config.last_change)
        return {};
    return submit_result{repeated ? submit_status::unknown : submit_status::repairing,
                         config.rev,
                         "the store lacks revision " + std::to_string(config.rev.value) +
                             " and is being repaired; try again",
                         {},
                         {}};
}

// A host that took a snapshot does not know the changes before it. Looks for the change id there.
template<platform_store Store>
std::optional<submit_result> change_submitter<Store>::find_earlier(std::string const& change_id,
                                                                   bool repeated)
{
    std::uint64_t const last = log_.rev().value;
    std::uint64_t const oldest = last < repeat_window ? 1 : last - repeat_window + 1;
    for (std::uint64_t r = log_.history_start().value; r >= oldest; --r)
    {
        stored const found = read({r});
        if (found.status == store_status::unreachable)
            return unreachable(change_id, repeated);
        if (found.change && found.change->change_id == change_id)
            return accepted(*found.change);
    }
    return {};
}

template<platform_store Store>
std::optional<submit_result>
change_submitter<Store>::check_base(config_change const& change,
                                    submit_options const& options) const
{
    if (!options.base || *options.base >= log_.rev())
        return {};
    auto const since = log_.changes_since(*options.base);
    std::optional<config_change> winner;
    if (since)
    {
        auto const it =
            std::find_if(since->rbegin(), since->rend(),
                         [&](config_change const& c) { return !independent(change, c); });
        if (it == since->rend())
            return {};
        winner = *it;
    }
    return submit_result{submit_status::conflict, log_.rev(), conflict_message(winner), winner, {}};
}

// Writes the change at its revision, and finds out what became of it when an answer is lost.
template<platform_store Store>
submit_result change_submitter<Store>::create(config_change const& change, bool repeated)
{
    // Reading first makes the refusal during an outage certain: nothing has been sent.
    stored found = read(change.rev);
    if (found.status == store_status::unreachable)
        return unreachable(change.change_id, repeated);
    if (found.status == store_status::done)
        return compare(change, found);
    bool uncertain = false;
    std::string const text = codec_.write_change(change);
    for (int attempt = 0; attempt < max_write_attempts; ++attempt)
    {
        store_value const v = store_.compare_and_swap(keys_.change(change.rev), text, 0);
        if (v.status == store_status::done)
            return accepted(change);
        uncertain = uncertain || v.status == store_status::unreachable;
        if (uncertain)
            set_pending(change.change_id, change.rev);
        found = read(change.rev);
        if (found.status == store_status::done)
            return compare(change, found);
        // The key is taken, and not by this change.
        if (v.status == store_status::conflict && !uncertain)
            return {submit_status::conflict, change.rev, conflict_message({}), {}, {}};
    }
    return {submit_status::unknown,
            change.rev,
            "outcome unknown, ask again with change id " + change.change_id,
            {},
            {}};
}

// Whose change is in the store decides: create-if-absent lets only one in.
template<platform_store Store>
submit_result change_submitter<Store>::compare(config_change const& change, stored const& found)
{
    if (!found.change)
        return {submit_status::conflict,
                change.rev,
                "revision " + std::to_string(change.rev.value) + " of the store is unreadable",
                {},
                {}};
    if (found.change->change_id == change.change_id)
        return accepted(*found.change);
    clear_pending(change.change_id);
    return {submit_status::conflict, change.rev, conflict_message(found.change), found.change, {}};
}

template<platform_store Store>
submit_result change_submitter<Store>::accepted(config_change const& change)
{
    clear_pending(change.change_id);
    log_.apply(change);
    return {submit_status::accepted,
            change.rev,
            "accepted as revision " + std::to_string(change.rev.value),
            {},
            {}};
}

template<platform_store Store>
submit_result change_submitter<Store>::unreachable(std::string const& change_id,
                                                   bool repeated) const
{
    if (repeated)
        return {submit_status::unknown,
                log_.rev(),
                "outcome unknown, ask again with change id " + change_id,
                {},
                {}};
    return {submit_status::not_accepted, log_.rev(), "not accepted: store unreachable", {}, {}};
}

template<platform_store Store>
submit_result change_submitter<Store>::ask(std::string const& change_id)
{
    if (auto const known = log_.find_change(change_id))
        return accepted(*known);
    revision tried{log_.rev().value + 1};
    bool pending = false;
    {
        std::lock_guard const lock(mutex_);
        if (auto const it = pending_.find(change_id); it != pending_.end())
        {
            tried = it->second;
            pending = true;
        }
    }
    stored found{store_status::done, log_.change_at(tried)};
    if (!found.change)
        found = read(tried);
    if (found.change && found.change->change_id == change_id)
        return accepted(*found.change);
    if (found.change && pending)
    {
        clear_pending(change_id);
        return {submit_status::not_accepted,
                tried,
                "not accepted: revision " + std::to_string(tried.value) + " is change " +
                    found.change->change_id,
                found.change,
                {}};
    }
    if (found.status != store_status::unreachable)
        if (auto earlier = find_earlier(change_id, true))
            return std::move(*earlier);
    return {submit_status::unknown,
            tried,
            "outcome unknown; repeat the change with change id " + change_id,
            {},
            {}};
}

template<platform_store Store>
bool change_submitter<Store>::is_pending(std::string const& change_id) const
{
    std::lock_guard const lock(mutex_);
    return pending_.contains(change_id);
}

template<platform_store Store>
void change_submitter<Store>::set_pending(std::string const& change_id, revision rev)
{
    std::lock_guard const lock(mutex_);
    if (pending_.size() >= max_pending)
        pending_.erase(std::min_element(pending_.begin(), pending_.end(),
                                        [](auto const& a, auto const& b)
                                        { return a.second < b.second; }));
    pending_[change_id] = rev;
}

template<platform_store Store>
void change_submitter<Store>::clear_pending(std::string const& change_id)
{
    std::lock_guard const lock(mutex_);
    pending_.erase(change_id);
}

} // namespace chivelever

#endif
