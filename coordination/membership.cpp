#include "coordination/membership.hpp"

#include <algorithm>
#include <map>

namespace chivelever
{

namespace
{

constexpr duration news_time = std::chrono::seconds(3); // news is put first this long
// After an announcement, heartbeats go to every other zone: at once to a few hosts, then to one.
constexpr duration announce_time = std::chrono::seconds(2);
constexpr std::size_t announce_per_zone = 3;
constexpr duration run_memory = std::chrono::seconds(10); // the previous run is told this long
constexpr std::uint64_t watch_key = 0x7761746368;         // rendezvous key of the watchers
constexpr std::size_t watchers_per_zone = 2;

constexpr bool by_id(member const& m, host_id id)
{
    return m.who.host < id;
}

} // namespace

membership::membership(host_instance self, zone_id zone, std::uint64_t seed,
                       membership_settings settings)
    : self_(self), zone_(zone), settings_(settings), random_(seed)
{
}

member const* membership::find(host_id id) const
{
    auto const i = std::lower_bound(members_.begin(), members_.end(), id, by_id);
    return i != members_.end() && i->who.host == id ? &*i : nullptr;
}

member* membership::record(host_id id)
{
    return const_cast<member*>(find(id));
}

// Rebuilds the records from the list and keeps what is known of hosts that stay. The run of a host
// that leaves the list is kept, so that its late heartbeats cannot revive it when it is listed
// again.
void membership::update(host_list const& list, time_point now)
{
    if (listed_once_ && list.version <= list_version_)
        return;
    std::vector<member> next;
    std::map<zone_id, std::vector<host_id>> zones;
    for (listed_host const& l : list.hosts)
    {
        if (l.kind != listed_kind::entry)
            continue;
        host_id const id{static_cast<std::uint16_t>(l.id)};
        member m;
        if (member const* known = find(id))
            m = *known;
        else
        {
            m.who.host = id;
            m.last_progress = m.news = now;
            m.alive = !listed_once_ && l.state == host_state::live;
            m.alive_since = m.alive ? now - settings_.settle : now;
            if (auto const r = removed_.find(id); r != removed_.end())
                m.previous_run = r->second;
        }
        if (id == self_.host && m.who.run != self_.run)
        {
            m.who.run = self_.run;
            m.alive = true;
            m.alive_since = now;
        }
        m.zone = l.zone;
        m.listed_state = l.state;
        m.packet = l.packet;
        if (l.state == host_state::leaving)
            m.state = host_state::leaving;
        next.push_back(m);
        if (id != self_.host)
            zones[l.zone].push_back(id);
        else
            zones[l.zone]; // the own zone counts even without peers
    }
    std::sort(next.begin(), next.end(),
              [](member const& a, member const& b) { return a.who.host < b.who.host; });
    members_.swap(next);
    for (member const& m : next)
        if (m.who.run.value != 0 && find(m.who.host) == nullptr)
            removed_[m.who.host] = m.who.run;
    local_.clear();
    remote_.clear();
    largest_zone_ = 0;
    for (auto& [zone, hosts] : zones)
    {
        largest_zone_ = std::max(largest_zone_, hosts.size() + (zone == zone_ ? 1 : 0));
        std::shuffle(hosts.begin(), hosts.end(), random_);
        if (zone == zone_)
            local_ = std::move(hosts);
        else
            remote_.push_back(std::move(hosts));
    }
    local_next_ = 0;
    list_version_ = list.version;
    listed_once_ = true;
    ++version_;
}

void membership::set_local(revision config, std::uint64_t list_version, host_state state)
{
    local_config_ = config;
    local_list_ = list_version;
    if (local_state_ != host_state::leaving) // leaving is final within a run
        local_state_ = state;
    if (member* m = record(self_.host))
    {
        m->config = config;
        m->list_version = list_version;
        if (m->state != local_state_ && local_state_ == host_state::leaving)
        {
            m->state = local_state_;
            ++version_;
        }
    }
}

void membership::tick(time_point now, outgoing_heartbeats& out)
{
    if (!next_beat_)
    {
        next_beat_ = now;
        last_tick_ = now;
    }
    // After a freeze of this process the silence is its own: the others get the time back.
    duration const gap = now - last_tick_;
    if (gap > 2 * settings_.period)
        for (member& m : members_)
            m.last_progress = std::min(now, m.last_progress + gap);
    last_tick_ = now;
    judge(now);
    if (now < *next_beat_)
        return;
    emit(now, out);
    *next_beat_ = std::max(*next_beat_ + settings_.period, now);
}

void membership::announce(time_point now, outgoing_heartbeats& out)
{
    announced_ = now;
    emit(now, out);
}

void membership::emit(time_point now, outgoing_heartbeats& out)
{
    ++counter_;
    if (member* m = record(self_.host))
    {
        m->counter = counter_;
        m->last_progress = now;
    }
    heartbeat const beat{
        {self_, counter_, local_state_}, zone_, local_config_, local_list_, 0, digest(now)};
    std::size_t const count = std::min(settings_.fanout, local_.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        if (local_next_ >= local_.size())
        {
            std::shuffle(local_.begin(), local_.end(), random_);
            local_next_ = 0;
        }
        add(local_[local_next_++], beat, now, out);
    }
    // With one host of one zone at a time, a change that a single host knew reached a zone whose
    // other hosts were frozen only after several seconds.
    std::size_t const each_zone = now == announced_                  ? announce_per_zone
                                  : now - announced_ < announce_time ? 1
                                                                     : 0;
    if (each_zone == 0)
    {
        if (auto const remote = next_remote())
            add(*remote, beat, now, out);
        return;
    }
    for (auto& zone : remote_)
    {
        std::shuffle(zone.begin(), zone.end(), random_);
        for (std::size_t i = 0; i < std::min(each_zone, zone.size()); ++i)
            add(zone[i], beat, now, out);
    }
}

// Appends one heartbeat. A host that has just started is also told of its previous run, which shows
// it that it was listed before, or that its run is too low.
void membership::add(host_id to, heartbeat beat, time_point now, outgoing_heartbeats& out)
{
    member const* m = find(to);
    if (m != nullptr && m->who.run.value != 0)
    {
        if (m->previous_run.value != 0 && now - m->news < run_memory)
            beat.digest.push_back({{to, m->previous_run}, 0, host_state::live});
        if (!m->alive)
            beat.digest.push_back({m->who, m->counter, m->state});
    }
    out.emplace_back(to, std::move(beat));
}

std::optional<host_id> membership::next_remote()
{
    if (remote_.empty())
        return {};
    auto const& zone = remote_[remote_next_++ % remote_.size()];
    return zone[random_() % zone.size()];
}

// Entries about other hosts: news first, then those whose progress is freshest.
std::vector<heartbeat_entry> membership::digest(time_point now)
{
    std::vector<member const*> known;
    for (member const& m : members_)
        if (m.who.host != self_.host && m.who.run.value != 0 && m.alive)
            known.push_back(&m);
    std::size_t const count = std::min(settings_.digest, known.size());
    auto const rank = [now](member const* m)
    { return std::pair(now - m->news < news_time, m->last_progress); };
    std::shuffle(known.begin(), known.end(), random_);
    std::partial_sort(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(count),
                      known.end(),
                      [&](member const* a, member const* b) { return rank(a) > rank(b); });
    std::vector<heartbeat_entry> result;
    result.reserve(count + 2);
    for (std::size_t i = 0; i < count; ++i)
        result.push_back({known[i]->who, known[i]->counter, known[i]->state});
    return result;
}

void membership::on_heartbeat(heartbeat const& h, time_point now)
{
    if (h.sender.who.host == self_.host)
    {
        learn_about_self(h.sender);
        return;
    }
    learn(h.sender, now);
    member* m = record(h.sender.who.host);
    if (m != nullptr && m->who == h.sender.who && h.sender.counter >= m->counter)
    {
        m->config = h.config;
        m->list_version = h.list_version;
    }
    for (heartbeat_entry const& e : h.digest)
        learn(e, now);
}

// Takes in one entry, by the rules of order above the class.
void membership::learn(heartbeat_entry const& e, time_point now)
{
    if (e.who.host == self_.host)
    {
        learn_about_self(e);
        return;
    }
    member* m = record(e.who.host);
    if (m == nullptr || e.who.run < m->who.run)
        return;
    if (auto const r = removed_.find(e.who.host); r != removed_.end() && e.who.run <= r->second)
        return;
    bool const new_run = e.who.run > m->who.run;
    if (new_run)
    {
        if (m->who.run.value != 0)
            m->previous_run = m->who.run;
        bool const first_news = m->who.run.value == 0 && m->alive; // keeps its grace at start
        m->who.run = e.who.run;
        m->counter = e.counter;
        m->state = m->listed_state;
        m->news = now;
        if (!first_news)
            m->alive = false;
        ++version_;
    }
    else if (e.counter > m->counter)
        m->counter = e.counter;
    else if (e.state != host_state::leaving)
        return;
    else if (e.counter < m->counter && m->state == host_state::leaving)
        return;
    m->last_progress = now;
    if (e.state == host_state::leaving && m->state != host_state::leaving)
    {
        m->state = host_state::leaving;
        m->news = now;
        ++version_;
    }
    set_alive(*m, true, now);
}

void membership::learn_about_self(heartbeat_entry const& e)
{
    if (e.who.run < self_.run)
        earlier_run_ = std::max(earlier_run_, e.who.run);
    else if (e.who.run > self_.run)
        newer_run_ = std::max(newer_run_, e.who.run);
}

void membership::set_alive(member& m, bool alive, time_point now)
{
    if (m.alive == alive)
        return;
    m.alive = alive;
    if (alive)
        m.alive_since = now;
    m.news = now;
    ++version_;
}

duration membership::suspicion_time(member const& m) const
{
    if (largest_zone_ <= settings_.small_zone)
        return m.zone == zone_ ? settings_.suspect_small : settings_.suspect_large;
    return m.zone == zone_ ? settings_.suspect_large : settings_.suspect_remote;
}

void membership::judge(time_point now)
{
    for (member& m : members_)
        if (m.who.host != self_.host && m.alive && now - m.last_progress > suspicion_time(m))
            set_alive(m, false, now);
}

template<class Higher>
std::optional<host_id> membership::best_peer(Higher higher)
{
    std::optional<host_id> best;
    bool best_local = false;
    std::uint64_t seen = 0;
    for (member const& m : members_)
    {
        bool const local = m.zone == zone_;
        if (m.who.host == self_.host || !m.alive || !higher(m) || (best_local && !local))
            continue;
        if (local && !best_local)
        {
            best_local = true;
            seen = 0;
        }
        if (random_() % ++seen == 0) // each candidate is equally likely
            best = m.who.host;
    }
    return best;
}

std::optional<host_id> membership::best_config_peer()
{
    return best_peer([this](member const& m) { return m.config > local_config_; });
}

std::optional<host_id> membership::best_list_peer()
{
    return best_peer([this](member const& m) { return m.list_version > local_list_; });
}

std::vector<host_id> membership::watchers() const
{
    std::vector<std::pair<std::uint64_t, host_id>> ranked;
    for (member const& m : members_)
        if (m.zone == zone_ && m.alive && m.state == host_state::live)
            ranked.emplace_back(hash_pair(watch_key + zone_.value, m.who.host.value), m.who.host);
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), watchers_per_zone));
    std::vector<host_id> result;
    for (auto const& [score, id] : ranked)
        result.push_back(id);
    return result;
}

bool membership::is_watcher() const
{
    auto const w = watchers();
    return std::find(w.begin(), w.end(), self_.host) != w.end();
}

std::vector<host_id> membership::settled_hosts(zone_id zone, time_point now) const
{
    std::vector<host_id> result;
    for (member const& m : members_)
        if (m.zone == zone && m.alive && m.state == host_state::live &&
            now - m.alive_since >= settings_.settle)
            result.push_back(m.who.host);
    return result;
}

std::optional<incarnation> membership::earlier_run() const
{
    return earlier_run_.value != 0 ? std::optional(earlier_run_) : std::nullopt;
}

std::optional<incarnation> membership::newer_run() const
{
    return newer_run_.value != 0 ? std::optional(newer_run_) : std::nullopt;
}

} // namespace chivelever
