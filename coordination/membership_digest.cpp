// Selects the entries about other hosts that a heartbeat carries.
#include "coordination/membership.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

// Time for which a change is sent as a full entry.
constexpr duration update_retention = std::chrono::seconds(10);

} // namespace

// Full entries about other hosts: the latest changes first, up to `count`. If `count` exceeds
// settings_.updates, as for a host that has just started, unchanged live hosts of the local zone
// are included.
std::vector<heartbeat_entry> membership::recent_updates(time_point now, std::size_t count)
{
    bool const include_unchanged = count > settings_.updates;
    std::vector<member const*> selected;
    for (member const& m : members_)
        if (m.instance.host != self_.host && m.instance.run.value != 0 &&
            (now - m.changed_at < update_retention ||
             (include_unchanged && m.alive && m.zone == zone_)))
            selected.push_back(&m);
    count = std::min(count, selected.size());
    std::partial_sort(
        selected.begin(), selected.begin() + static_cast<std::ptrdiff_t>(count), selected.end(),
        [](member const* a, member const* b) { return a->changed_at > b->changed_at; });
    std::vector<heartbeat_entry> result;
    result.reserve(count + 1);
    for (std::size_t i = 0; i < count; ++i)
        result.push_back(
            {selected[i]->instance, selected[i]->counter, selected[i]->state, !selected[i]->alive});
    return result;
}

// Progress of other live hosts. Within the zone: the hosts with the latest progress, plus the one
// with the latest progress of each remote zone, which shows that the zone is reachable. To remote
// zones: a random sample of hosts of the local zone.
std::vector<progress_entry> membership::progress_entries(bool remote, std::size_t count)
{
    std::vector<member const*> selected;
    selected.reserve(members_.size());
    std::map<zone_id, member const*> latest_by_zone;
    for (member const& m : members_)
    {
        if (m.instance.host == self_.host || m.instance.run.value == 0 || !m.alive)
            continue;
        if (m.zone == zone_)
            selected.push_back(&m);
        else if (member const*& best = latest_by_zone[m.zone];
                 !remote && (best == nullptr || best->last_progress < m.last_progress))
            best = &m;
    }
    if (selected.size() > count)
    {
        std::shuffle(selected.begin(), selected.end(), random_);
        if (!remote)
            std::nth_element(selected.begin(),
                             selected.begin() + static_cast<std::ptrdiff_t>(count), selected.end(),
                             [](member const* a, member const* b)
                             { return a->last_progress > b->last_progress; });
        selected.resize(count);
    }
    for (auto const& [zone, m] : latest_by_zone)
        if (m != nullptr)
            selected.push_back(m);
    std::sort(selected.begin(), selected.end(),
              [](member const* a, member const* b) { return a->instance.host < b->instance.host; });
    std::vector<progress_entry> result;
    result.reserve(selected.size());
    for (member const* m : selected)
        result.push_back({m->instance.host, progress_entry::low_run(m->instance.run),
                          progress_entry::low_counter(m->counter)});
    return result;
}

} // namespace chivelever
