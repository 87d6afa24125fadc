#include "coordination/membership.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

constexpr duration start_time = std::chrono::seconds(10); // after a start, told of the list's age
// After an announcement, heartbeats go to every other zone: at once to a few hosts, then to one.
constexpr duration announce_time = std::chrono::seconds(2);
constexpr std::size_t announce_per_zone = 3;
constexpr std::uint64_t watch_key = 0x7761746368; // rendezvous key of the watchers
constexpr std::size_t watchers_per_zone = 2;
constexpr std::uint32_t first_beats = 6;  // of a run; its sender knows little yet
constexpr std::size_t first_digest = 72;  // entries for a host just started
constexpr std::uint32_t extra_beats = 16; // announcements between two heartbeats

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

// Rebuilds the records from the list and keeps what is known of hosts that stay. The run and
// counter of a host that leaves the list are kept, so that its late heartbeats cannot revive it
// when it is listed again.
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
            // A host may be taken off the list and listed again while it runs. Its late heartbeats
            // prove nothing, so only progress that goes on for a period revives it.
            if (auto const r = removed_.find(id); r != removed_.end())
            {
                m.relisted = true;
                m.who.run = r->second.who.run;
                m.counter = r->second.counter;
                m.state = r->second.state;
            }
        }
        if (id == self_.host && m.who.run != self_.run)
        {
            m.who.run = self_.run;
            m.alive = true;
            m.alive_since = now;
        }
        m.zone = l.zone;
        zone_progress_.try_emplace(l.zone, now);
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
            removed_[m.who.host] = {m.who, m.counter, m.state};
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
    list_since_ = now;
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
    if (gap > 2 * settings_.period)
        for (auto& [zone, progress] : zone_progress_)
            progress = std::min(now, progress + gap);
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
    heartbeat beat;
    beat.sender = {self_, counter_, local_state_};
    beat.zone = zone_;
    beat.config = local_config_;
    beat.list_version = local_list_;
    beat.digest = news(now, settings_.news);
    beat.progress = progress(false, settings_.progress);
    bool const small = local_.size() < settings_.small_zone;
    std::size_t const count =
        std::min(small ? settings_.fanout : settings_.fanout_large, local_.size());
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
    beat.progress = progress(true, settings_.progress_remote);
    std::size_t const each_zone = now == announced_                  ? announce_per_zone
                                  : now - announced_ < announce_time ? 1
                                                                     : 0;
    if (each_zone == 0)
    {
        if (auto const remote = next_remote())
            add(*remote, std::move(beat), now, out);
        return;
    }
    for (auto& zone : remote_)
    {
        std::shuffle(zone.begin(), zone.end(), random_);
        for (std::size_t i = 0; i < std::min(each_zone, zone.size()); ++i)
            add(zone[i], beat, now, out);
    }
}

bool membership::list_is_settled(time_point now) const
{
    return local_list_ == list_version_ && now - list_since_ > settings_.list_settle;
}

// Appends one heartbeat. A host that has just started is also told the runs of all others, because
// progress entries say nothing to it yet, and whether the list is settled. One that seems dead is
// told of its latest known run, which may be higher than its own after a clock step.
void membership::add(host_id to, heartbeat beat, time_point now, outgoing_heartbeats& out)
{
    member const* m = find(to);
    if (m != nullptr && m->who.run.value != 0)
    {
        bool const started = now - m->news < start_time;
        beat.list_settled = started && list_is_settled(now);
        if (started && m->counter < first_beats)
            beat.digest = news(now, first_digest);
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

void membership::on_heartbeat(heartbeat const& h, time_point now)
{
    if (h.sender.who.host == self_.host)
    {
        learn_about_self(h.sender);
        return;
    }
    learn(h.sender, now);
    if (h.list_settled)
        settled_list_ = std::max(settled_list_, h.list_version);
    member* m = record(h.sender.who.host);
    if (m != nullptr && m->who == h.sender.who && h.sender.counter >= m->counter)
    {
        m->config = h.config;
        m->list_version = h.list_version;
    }
    for (heartbeat_entry const& e : h.digest)
        learn(e, now);
    for (progress_entry const& p : h.progress)
        learn_progress(p, now);
}

// Completes the counter from its low bits. The rise must be possible in the time since the last
// progress, else the entry belongs to another run with the same low bits.
void membership::learn_progress(progress_entry const& p, time_point now)
{
    member* m = record(p.host);
    if (m == nullptr || m->who.host == self_.host || m->who.run.value == 0 ||
        progress_entry::low_run(m->who.run) != p.run)
        return;
    std::uint32_t const rise =
        progress_entry::low_counter(static_cast<std::uint32_t>(p.counter) - m->counter);
    auto const possible = 2 * ((now - m->last_progress) / settings_.period) + extra_beats;
    if (rise == 0 || rise > possible)
        return;
    m->counter += rise;
    m->last_progress = now;
    zone_progress_[m->zone] = now;
    set_alive(*m, true, now);
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
    if (e.suspected)
    {
        accept_suspicion(*m, e, now);
        return;
    }
    bool const new_run = e.who.run > m->who.run;
    if (new_run)
    {
        m->relisted = false;
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
    {
        m->counter = e.counter;
        if (m->relisted && !proves_running(*m, now))
            return;
    }
    else if (e.state != host_state::leaving || m->state == host_state::leaving)
        return;
    m->last_progress = now;
    zone_progress_[m->zone] = now;
    if (e.state == host_state::leaving && m->state != host_state::leaving)
    {
        m->state = host_state::leaving;
        m->news = now;
        ++version_;
    }
    set_alive(*m, true, now);
}

// Whether a host that was listed again has made progress twice, a period apart.
bool membership::proves_running(member& m, time_point now) const
{
    if (!m.relisted_progress)
        m.relisted_progress = now;
    if (now - *m.relisted_progress < settings_.period)
        return false;
    m.relisted = false;
    return true;
}

// A host of another zone is suspected by the word of its own zone, unless later progress is known.
// About hosts of the own zone this host judges for itself.
void membership::accept_suspicion(member& m, heartbeat_entry const& e, time_point now)
{
    if (m.zone == zone_ || e.who.run != m.who.run || e.counter < m.counter)
        return;
    m.counter = e.counter;
    set_alive(m, false, now);
}

void membership::learn_about_self(heartbeat_entry const& e)
{
    if (e.who.run > self_.run)
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

bool membership::overdue(member const& m, time_point now) const
{
    bool const small = largest_zone_ <= settings_.small_zone;
    if (m.zone != zone_)
        return now - m.last_progress > settings_.suspect_remote;
    return now - m.last_progress > (small ? settings_.suspect_small : settings_.suspect_large);
}

void membership::judge(time_point now)
{
    bool const small = largest_zone_ <= settings_.small_zone;
    duration const silence = small ? settings_.zone_silence_small : settings_.zone_silence_large;
    for (member& m : members_)
    {
        if (m.who.host == self_.host || !m.alive)
            continue;
        if (m.zone != zone_ && now - zone_progress_[m.zone] > silence)
        {
            // Not told to others: it says more about the way there than about the host.
            time_point const news = m.news;
            set_alive(m, false, now);
            m.news = news;
        }
        else if (overdue(m, now))
            set_alive(m, false, now);
    }
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
    result.reserve(ranked.size());
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

std::optional<incarnation> membership::newer_run() const
{
    return newer_run_.value != 0 ? std::optional(newer_run_) : std::nullopt;
}

} // namespace chivelever
