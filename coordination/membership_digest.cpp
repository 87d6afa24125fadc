// What a heartbeat tells about other hosts.
#include "coordination/membership.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

constexpr duration news_time = std::chrono::seconds(10); // for which a change is news

} // namespace

// Full entries about other hosts: the latest news first, up to `count`; beyond the usual number
// also hosts of the own zone without news.
std::vector<heartbeat_entry> membership::news(time_point now, std::size_t count)
{
    bool const all = count > settings_.news;
    std::vector<member const*> known;
    for (member const& m : members_)
        if (m.who.host != self_.host && m.who.run.value != 0 &&
            (now - m.news < news_time || (all && m.alive && m.zone == zone_)))
            known.push_back(&m);
    count = std::min(count, known.size());
    std::partial_sort(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(count),
                      known.end(),
                      [](member const* a, member const* b) { return a->news > b->news; });
    std::vector<heartbeat_entry> result;
    result.reserve(count + 1);
    for (std::size_t i = 0; i < count; ++i)
        result.push_back({known[i]->who, known[i]->counter, known[i]->state, !known[i]->alive});
    return result;
}

// Progress of other live hosts. Within the zone: those with the freshest progress, and of each
// other zone the freshest one, which shows that the zone is reached. To other zones: a random
// choice of hosts of the own zone.
std::vector<progress_entry> membership::progress(bool remote, std::size_t count)
{
    std::vector<member const*> known;
    known.reserve(members_.size());
    std::map<zone_id, member const*> freshest;
    for (member const& m : members_)
    {
        if (m.who.host == self_.host || m.who.run.value == 0 || !m.alive)
            continue;
        if (m.zone == zone_)
            known.push_back(&m);
        else if (member const*& best = freshest[m.zone];
                 !remote && (best == nullptr || best->last_progress < m.last_progress))
            best = &m;
    }
    if (known.size() > count)
    {
        std::shuffle(known.begin(), known.end(), random_);
        if (!remote)
            std::nth_element(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(count),
                             known.end(),
                             [](member const* a, member const* b)
                             { return a->last_progress > b->last_progress; });
        known.resize(count);
    }
    for (auto const& [zone, m] : freshest)
        if (m != nullptr)
            known.push_back(m);
    std::sort(known.begin(), known.end(),
              [](member const* a, member const* b) { return a->who.host < b->who.host; });
    std::vector<progress_entry> result;
    result.reserve(known.size());
    for (member const* m : known)
        result.push_back({m->who.host, progress_entry::low_run(m->who.run),
                          progress_entry::low_counter(m->counter)});
    return result;
}

} // namespace chivelever
