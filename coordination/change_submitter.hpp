// Submits configuration changes to the platform's store and determines their outcome.
//
// A store that was restored to an older state is detected by reading back the key of the current
// revision. This fails on a host that is itself behind, so the caller passes the highest revision
// received in heartbeats (submit_options::highest_seen), and such a host refuses the change.
// Heartbeats reach every host in less time than a restore of the store takes.
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
    refused,      // see problems
    conflict,     // another change was accepted first
    not_accepted, // definite: the store is unreachable and nothing was written, or another
                  // change has the revision
    repairing,    // definite: this host or the store has to catch up first
    unknown       // the change may have been accepted; query again by change id
};

struct submit_result
{
    submit_status status{};
    revision rev;                        // of the accepted change, or the attempted revision
    std::string message;                 // for operators
    std::optional<config_change> winner; // the conflicting change
    findings problems;                   // set if refused
};

struct submit_options
{
    revision in_force_everywhere; // see config_rules.hpp
    revision highest_seen;        // in heartbeats of other hosts
    // Revision that the operator based the change on. Later changes to the same names conflict.
    std::optional<revision> base;
};

// Message for a conflict with the change `by`.
std::string conflict_message(std::optional<config_change> const& by);

// Number of revisions that are searched in the store before a write, so that an accepted change is
// not accepted again. At 1,200 changes a day this covers over an hour.
inline constexpr std::uint64_t duplicate_lookback = 64;
inline constexpr int max_rebases = 8;        // onto independent changes, per submission
inline constexpr int max_write_attempts = 3; // of one key

template<platform_store Store>
class change_submitter
{
public:
    change_submitter(Store& store, config_log& log, store_codec codec, store_keys keys)
        : store_(store), log_(log), codec_(std::move(codec)), keys_(std::move(keys))
    {
    }

    // Writes the change to the store at the next revision and applies an accepted change to the
    // log. Idempotent: a change id is never applied twice.
    submit_result submit(config_change change, submit_options const& options);

    // Returns the outcome of an earlier submission without writing.
    submit_result query_outcome(std::string const& change_id);

private:
    struct stored_change
    {
        store_status status{};
        std::optional<config_change> change;
    };

    stored_change read(revision rev);
    std::optional<submit_result> verify_store(fleet_config const& config,
                                              std::string const& change_id, bool is_retry);
    std::optional<submit_result> find_accepted(std::string const& change_id, bool is_retry);
    std::optional<submit_result> check_base(config_change const& change,
                                            submit_options const& options) const;
    submit_result write_new(config_change const& change, bool is_retry);
    submit_result resolve_existing(config_change const& change, stored_change const& found);
    submit_result accepted(config_change const& change);
    submit_result unreachable(std::string const& change_id, bool is_retry) const;

    bool is_pending(std::string const& change_id) const;
    void set_pending(std::string const& change_id, revision rev);
    void clear_pending(std::string const& change_id);

    static constexpr std::size_t max_pending = 1024;

    Store& store_;
    config_log& log_;
    store_codec codec_;
    store_keys keys_;
    mutable std::mutex mutex_;
    // Changes with unknown outcome and their attempted revision.
    std::map<std::string, revision> pending_;
};

template<platform_store Store>
submit_result change_submitter<Store>::submit(config_change change, submit_options const& options)
{
    if (auto const known = log_.find_change(change.change_id))
        return accepted(*known);
    bool const is_retry = is_pending(change.change_id);
    revision const seen = std::max(options.highest_seen, options.base.value_or(revision{}));
    if (seen > log_.rev())
        return {is_retry ? submit_status::unknown : submit_status::repairing,
                log_.rev(),
                "this host is behind revision " + std::to_string(seen.value) + "; try again",
                {},
                {}};
    submit_result result;
    for (int attempt = 0; attempt < max_rebases; ++attempt)
    {
        config_ptr const config = log_.current();
        change.rev = {config->rev.value + 1};
        if (auto failure = verify_store(*config, change.change_id, is_retry))
            return std::move(*failure);
        if (attempt == 0)
            if (auto previous = find_accepted(change.change_id, is_retry))
                return std::move(*previous);
        if (auto failure = check_base(change, options))
            return std::move(*failure);
        findings problems;
        if (!value_or_findings([&] { return apply(*config, change, options.in_force_everywhere); },
                               problems))
            return {submit_status::refused, config->rev, "refused", {}, std::move(problems)};
        result = write_new(change, is_retry);
        if (result.status != submit_status::conflict || !result.winner)
            return result;
        // The winner is in force from now on, whether or not this change can be rebased onto it.
        log_.apply(*result.winner);
        if (!independent(change, *result.winner))
            return result;
    }
    return result;
}

template<platform_store Store>
auto change_submitter<Store>::read(revision rev) -> stored_change
{
    store_value const reply = store_.get(keys_.change(rev));
    stored_change out{reply.status, {}};
    if (reply.status == store_status::done)
        out.change = codec_.decode_change(reply.value);
    return out;
}

// Refuses to write to a store that lacks the current revision.
template<platform_store Store>
std::optional<submit_result> change_submitter<Store>::verify_store(fleet_config const& config,
                                                                   std::string const& change_id,
                                                                   bool is_retry)
{
    if (config.rev.value == 0)
        return {};
    stored_change const current = read(config.rev);
    if (current.status == store_status::unreachable)
        return unreachable(change_id, is_retry);
    if (current.change && current.change->change_id == config.last_change)
        return {};
    return submit_result{is_retry ? submit_status::unknown : submit_status::repairing,
                         config.rev,
                         "the store lacks revision " + std::to_string(config.rev.value) +
                             " and is being repaired; try again",
                         {},
                         {}};
}

// A host that installed a snapshot lacks the changes before it. Searches the store for the change
// id there.
template<platform_store Store>
std::optional<submit_result> change_submitter<Store>::find_accepted(std::string const& change_id,
                                                                    bool is_retry)
{
    std::uint64_t const last = log_.rev().value;
    std::uint64_t const oldest = last < duplicate_lookback ? 1 : last - duplicate_lookback + 1;
    for (std::uint64_t r = log_.history_start().value; r >= oldest; --r)
    {
        stored_change const found = read({r});
        if (found.status == store_status::unreachable)
            return unreachable(change_id, is_retry);
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

// Writes the change at its revision, and reads it back to determine the outcome if a reply is lost.
template<platform_store Store>
submit_result change_submitter<Store>::write_new(config_change const& change, bool is_retry)
{
    // Reading first makes a refusal during an outage definite, since no write has been sent.
    stored_change found = read(change.rev);
    if (found.status == store_status::unreachable)
        return unreachable(change.change_id, is_retry);
    if (found.status == store_status::done)
        return resolve_existing(change, found);
    bool outcome_uncertain = false;
    std::string const text = codec_.encode_change(change);
    for (int attempt = 0; attempt < max_write_attempts; ++attempt)
    {
        store_value const reply = store_.compare_and_swap(keys_.change(change.rev), text, 0);
        if (reply.status == store_status::done)
            return accepted(change);
        outcome_uncertain = outcome_uncertain || reply.status == store_status::unreachable;
        if (outcome_uncertain)
            set_pending(change.change_id, change.rev);
        found = read(change.rev);
        if (found.status == store_status::done)
            return resolve_existing(change, found);
        // The key exists and holds another change.
        if (reply.status == store_status::conflict && !outcome_uncertain)
            return {submit_status::conflict, change.rev, conflict_message({}), {}, {}};
    }
    return {submit_status::unknown,
            change.rev,
            "outcome unknown, ask again with change id " + change.change_id,
            {},
            {}};
}

// Create-if-absent accepts exactly one change; the change id in the store tells which.
template<platform_store Store>
submit_result change_submitter<Store>::resolve_existing(config_change const& change,
                                                        stored_change const& found)
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
                                                   bool is_retry) const
{
    if (is_retry)
        return {submit_status::unknown,
                log_.rev(),
                "outcome unknown, ask again with change id " + change_id,
                {},
                {}};
    return {submit_status::not_accepted, log_.rev(), "not accepted: store unreachable", {}, {}};
}

template<platform_store Store>
submit_result change_submitter<Store>::query_outcome(std::string const& change_id)
{
    if (auto const known = log_.find_change(change_id))
        return accepted(*known);
    revision attempted{log_.rev().value + 1};
    bool pending = false;
    {
        std::lock_guard const lock(mutex_);
        if (auto const it = pending_.find(change_id); it != pending_.end())
        {
            attempted = it->second;
            pending = true;
        }
    }
    stored_change found{store_status::done, log_.change_at(attempted)};
    if (!found.change)
        found = read(attempted);
    if (found.change && found.change->change_id == change_id)
        return accepted(*found.change);
    if (found.change && pending)
    {
        clear_pending(change_id);
        return {submit_status::not_accepted,
                attempted,
                "not accepted: revision " + std::to_string(attempted.value) + " is change " +
                    found.change->change_id,
                found.change,
                {}};
    }
    if (found.status != store_status::unreachable)
        if (auto previous = find_accepted(change_id, true))
            return std::move(*previous);
    return {submit_status::unknown,
            attempted,
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
