// What a deployment view keeps using after an outage of the store, and after a restore of the store
// from an older backup.
#include "coordination/deployment_view.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Expired or lost entries are rewritten within about two seconds after the store returns.
constexpr duration outage_recovery_time = 2400ms;
// An upstream that is missing for this long while the store is readable has terminated; a live one
// would have rewritten its entry several times.
constexpr duration removal_timeout = 5s;

} // namespace

void deployment_view::detect_outage(time_point now, std::vector<view_change>& changes)
{
    if (confirmed_at_ == time_point{} || now - confirmed_at_ < outage_threshold)
        return;
    // An entry that a restore has removed may still be missing.
    if (now >= era_recovery_until_)
        outage_began_ = confirmed_at_;
    outage_recovery_until_ = now + outage_recovery_time;
    changes.push_back(
        {"store.returned", "store",
         "gap_ms=" + std::to_string((now - confirmed_at_) / std::chrono::milliseconds(1))});
}

void deployment_view::detect_era_change(store_position as_of, time_point now,
                                        std::vector<view_change>& changes)
{
    if (as_of_ == store_position{} || as_of.era <= as_of_.era)
        return;
    // After a second restore, entries may still be missing since the first one.
    if (now >= outage_recovery_until_)
        outage_began_ = confirmed_at_;
    if (now >= era_recovery_until_)
        kept_zones_.clear();
    kept_zones_.insert(evacuated_.begin(), evacuated_.end());
    outage_recovery_until_ = era_recovery_until_ = now + outage_recovery_time;
    changes.push_back({"store.era", std::to_string(as_of.era),
                       "previous=" + std::to_string(as_of_.era) +
                           " previous_as_of=" + std::to_string(as_of_.revision)});
}

bool deployment_view::is_outdated(known_upstream const& known, upstream_entry const& entry,
                                  time_point now) const
{
    return now < era_recovery_until_ && entry.started_unix_ms < known.entry.started_unix_ms;
}

void deployment_view::keep_draining(known_upstream& known, upstream_entry const& entry,
                                    time_point now) const
{
    bool const was_draining = known.entry.draining || now < known.draining_until;
    bool const same_start = known.entry.started_unix_ms == entry.started_unix_ms;
    bool const keep = was_draining && same_start && now < era_recovery_until_;
    known.draining_until = keep ? era_recovery_until_ : time_point{};
}

void deployment_view::release_kept_zones(time_point now, std::vector<view_change>& changes)
{
    if (now < era_recovery_until_)
        return;
    for (std::string const& z : kept_zones_)
        changes.push_back({"zone.returned", z, "not listed since the restore of the store"});
    kept_zones_.clear();
}

void deployment_view::expect_cold_starts(std::string const& zone, time_point now)
{
    if (now >= era_recovery_until_)
        return;
    for (auto& [name, known] : by_name_)
        if (known.entry.zone == zone)
            known.cold_until = std::max(known.cold_until, era_recovery_until_);
}

bool deployment_view::evacuated(std::string const& zone) const
{
    return evacuated_.contains(zone) || kept_zones_.contains(zone);
}

bool deployment_view::accepts_new_flows(known_upstream const& u, time_point now) const
{
    bool const zone_kept = now < era_recovery_until_ && kept_zones_.contains(u.entry.zone);
    if (u.entry.draining || now < u.draining_until || u.token_conflict ||
        evacuated_.contains(u.entry.zone) || zone_kept)
        return false;
    if (u.listed)
        return true;
    // The entry may have expired during an outage that has just ended.
    return now < outage_recovery_until_ && u.missing_since > outage_began_;
}

bool deployment_view::is_terminated(known_upstream const& u, time_point now) const
{
    if (u.listed)
        return false;
    auto const owner = by_address_.find(u.entry.address.packed());
    // A restored store may list the previous owner of the address until the present one has written
    // its entry again.
    bool const outdated_owner = now < era_recovery_until_ && owner != by_address_.end() &&
                                owner->second->entry.started_unix_ms < u.entry.started_unix_ms;
    if (owner != by_address_.end() && !outdated_owner &&
        owner->second->entry.datagram_address != u.entry.datagram_address)
        return true;
    return now >= outage_recovery_until_ && now - confirmed_at_ < outage_threshold &&
           now - u.missing_since > removal_timeout;
}

bool deployment_view::shows_restarts_since(time_point since, time_point now) const
{
    return now >= outage_recovery_until_ && confirmed_at_ - since >= outage_recovery_time;
}

} // namespace chivelever
