#include "coordination/membership.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

// For this long after a change of a host's run, state or liveness, in particular after its start,
// the host is told whether the list is settled.
constexpr duration change_window = std::chrono::seconds(10);
// After an announcement, heartbeats go to every remote zone: immediately to several hosts per zone,
// then to one per zone.
constexpr duration announce_window = std::chrono::seconds(2);
constexpr std::size_t announce_per_zone = 3;
constexpr std::uint64_t watcher_hash_key = 0x7761746368; // for rendezvous hashing
constexpr std::size_t watchers_per_zone = 2;
// A host that has sent fewer heartbeats than this in its run gets a larger digest, since it knows
// few other hosts.
constexpr std::uint32_t initial_heartbeats = 6;
constexpr std::size_t initial_digest_entries = 72; // at most, in that digest
// Announcements that may be sent between two periodic heartbeats.
constexpr std::uint32_t max_extra_heartbeats = 16;

constexpr bool by_id(member const& m, host_id id)
{
    return m.instance.host < id;
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
    return i != members_.end() && i->instance.host == id ? &*i : nullptr;
}

member* membership::find_mutable(host_id id)
{
    return const_cast<member*>(find(id));
}

// Rebuilds the member table and keeps the state of hosts that stay listed. The run and counter of a
// host that leaves the list are kept, so that its delayed heartbeats cannot mark it alive when it
// is listed again.
void membership::update(host_list const& list, time_point now)
{
    if (has_list_ && list.version <= list_version_)
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
            m.instance.host = id;
            m.last_progress = m.changed_at = now;
            m.alive = !has_list_ && l.state == host_state::live;
            m.alive_since = m.alive ? now - settings_.settle_time : now;
            // A host may be removed from the list and listed again while it runs. A single delayed
            // heartbeat does not prove that it runs, so it becomes alive only after progress over a
            // full period.
            if (auto const r = unlisted_.find(id); r != unlisted_.end())
            {
                m.relisted = true;
                m.instance.run = r->second.instance.run;
                m.counter = r->second.counter;
                m.state = r->second.state;
            }
        }
        if (id == self_.host && m.instance.run != self_.run)
        {
            m.instance.run = self_.run;
            m.alive = true;
            m.alive_since = now;
        }
        m.zone = l.zone;
        last_zone_progress_.try_emplace(l.zone, now);
        m.listed_state = l.state;
        m.packet = l.packet;
        if (l.state == host_state::leaving)
            m.state = host_state::leaving;
        next.push_back(m);
        if (id != self_.host)
            zones[l.zone].push_back(id);
        else
            zones[l.zone]; // the local zone counts even without peers
    }
    std::sort(next.begin(), next.end(),
              [](member const& a, member const& b) { return a.instance.host < b.instance.host; });
    members_.swap(next);
    for (member const& m : next)
        if (m.instance.run.value != 0 && find(m.instance.host) == nullptr)
            unlisted_[m.instance.host] = {m.instance, m.counter, m.state};
    local_peers_.clear();
    remote_peers_.clear();
    largest_zone_size_ = 0;
    for (auto& [zone, hosts] : zones)
    {
        largest_zone_size_ = std::max(largest_zone_size_, hosts.size() + (zone == zone_ ? 1 : 0));
        std::shuffle(hosts.begin(), hosts.end(), random_);
        if (zone == zone_)
            local_peers_ = std::move(hosts);
        else
            remote_peers_.push_back(std::move(hosts));
    }
    next_local_peer_ = 0;
    list_version_ = list.version;
    list_received_at_ = now;
    has_list_ = true;
    ++version_;
}

void membership::set_local(revision config, std::uint64_t list_version, host_state state)
{
    local_config_ = config;
    local_list_version_ = list_version;
    if (local_state_ != host_state::leaving) // leaving is final within a run
        local_state_ = state;
    if (member* m = find_mutable(self_.host))
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
    if (!next_heartbeat_)
    {
        next_heartbeat_ = now;
        last_tick_ = now;
    }
    // After a pause of this process, no heartbeats were received because it did not run: extend the
    // deadlines of all hosts and zones by the length of the pause.
    duration const pause = now - last_tick_;
    if (pause > 2 * settings_.period)
        for (member& m : members_)
            m.last_progress = std::min(now, m.last_progress + pause);
    if (pause > 2 * settings_.period)
        for (auto& [zone, progress] : last_zone_progress_)
            progress = std::min(now, progress + pause);
    last_tick_ = now;
    check_timeouts(now);
    if (now < *next_heartbeat_)
        return;
    send_heartbeats(now, out);
    *next_heartbeat_ = std::max(*next_heartbeat_ + settings_.period, now);
}

void membership::announce(time_point now, outgoing_heartbeats& out)
{
    last_announcement_ = now;
    send_heartbeats(now, out);
}

void membership::send_heartbeats(time_point now, outgoing_heartbeats& out)
{
    ++counter_;
    if (member* m = find_mutable(self_.host))
    {
        m->counter = counter_;
        m->last_progress = now;
    }
    heartbeat message;
    message.sender = {self_, counter_, local_state_};
    message.zone = zone_;
    message.config = local_config_;
    message.list_version = local_list_version_;
    message.digest = recent_updates(now, settings_.updates);
    message.progress = progress_entries(false, settings_.progress);
    bool const small = local_peers_.size() < settings_.small_zone;
    std::size_t const count =
        std::min(small ? settings_.fanout : settings_.fanout_large, local_peers_.size());
    for (std::size_t i = 0; i < count; ++i)
    {
        if (next_local_peer_ >= local_peers_.size())
        {
            std::shuffle(local_peers_.begin(), local_peers_.end(), random_);
            next_local_peer_ = 0;
        }
        append_heartbeat(local_peers_[next_local_peer_++], message, now, out);
    }
    // During an announcement every remote zone is contacted. With one host of one zone at a time, a
    // change known only to this host took several seconds to reach a zone whose other hosts were
    // paused.
    message.progress = progress_entries(true, settings_.progress_remote);
    std::size_t const hosts_per_zone = now == last_announcement_ ? announce_per_zone
                                       : now - last_announcement_ < announce_window ? 1
                                                                                    : 0;
    if (hosts_per_zone == 0)
    {
        if (auto const remote = next_remote_peer())
            append_heartbeat(*remote, std::move(message), now, out);
        return;
    }
    for (auto& zone : remote_peers_)
    {
        std::shuffle(zone.begin(), zone.end(), random_);
        for (std::size_t i = 0; i < std::min(hosts_per_zone, zone.size()); ++i)
            append_heartbeat(zone[i], message, now, out);
    }
}

bool membership::is_list_settled(time_point now) const
{
    return local_list_version_ == list_version_ &&
           now - list_received_at_ > settings_.list_settle_time;
}

// Appends one heartbeat. A host that has just started also gets the runs of other hosts, because it
// cannot interpret progress entries yet; a host that has recently changed gets whether the list is
// settled. A suspected host gets its last known run, which may be higher than its own after a clock
// step.
void membership::append_heartbeat(host_id to, heartbeat message, time_point now,
                                  outgoing_heartbeats& out)
{
    member const* m = find(to);
    if (m != nullptr && m->instance.run.value != 0)
    {
        bool const recently_changed = now - m->changed_at < change_window;
        message.list_settled = recently_changed && is_list_settled(now);
        if (recently_changed && m->counter < initial_heartbeats)
            message.digest = recent_updates(now, initial_digest_entries);
        if (!m->alive)
            message.digest.push_back({m->instance, m->counter, m->state});
    }
    out.emplace_back(to, std::move(message));
}

std::optional<host_id> membership::next_remote_peer()
{
    if (remote_peers_.empty())
        return {};
    auto const& zone = remote_peers_[next_remote_zone_++ % remote_peers_.size()];
    return zone[random_() % zone.size()];
}

void membership::on_heartbeat(heartbeat const& h, time_point now)
{
    if (h.sender.instance.host == self_.host)
    {
        merge_self_entry(h.sender);
        return;
    }
    merge_entry(h.sender, now);
    if (h.list_settled)
        settled_list_ = std::max(settled_list_, h.list_version);
    member* m = find_mutable(h.sender.instance.host);
    if (m != nullptr && m->instance == h.sender.instance && h.sender.counter >= m->counter)
    {
        m->config = h.config;
        m->list_version = h.list_version;
    }
    for (heartbeat_entry const& e : h.digest)
        merge_entry(e, now);
    for (progress_entry const& p : h.progress)
        merge_progress(p, now);
}

// Reconstructs the full counter from its low bits. The increase must be possible within the time
// since the last progress, otherwise the entry belongs to another run with the same low bits.
void membership::merge_progress(progress_entry const& p, time_point now)
{
    member* m = find_mutable(p.host);
    if (m == nullptr || m->instance.host == self_.host || m->instance.run.value == 0 ||
        progress_entry::low_run(m->instance.run) != p.run)
        return;
    std::uint32_t const rise =
        progress_entry::low_counter(static_cast<std::uint32_t>(p.counter) - m->counter);
    auto const max_rise = 2 * ((now - m->last_progress) / settings_.period) + max_extra_heartbeats;
    if (rise == 0 || rise > max_rise)
        return;
    m->counter += rise;
    m->last_progress = now;
    last_zone_progress_[m->zone] = now;
    set_alive(*m, true, now);
}

// Applies one entry by the ordering rules documented at the class.
void membership::merge_entry(heartbeat_entry const& e, time_point now)
{
    if (e.instance.host == self_.host)
    {
        merge_self_entry(e);
        return;
    }
    member* m = find_mutable(e.instance.host);
    if (m == nullptr || e.instance.run < m->instance.run)
        return;
    if (e.suspected)
    {
        apply_suspicion(*m, e, now);
        return;
    }
    bool const new_run = e.instance.run > m->instance.run;
    if (new_run)
    {
        m->relisted = false;
        // The first heartbeat keeps the initial grace period.
        bool const first_heartbeat = m->instance.run.value == 0 && m->alive;
        m->instance.run = e.instance.run;
        m->counter = e.counter;
        m->state = m->listed_state;
        m->changed_at = now;
        if (!first_heartbeat)
            m->alive = false;
        ++version_;
    }
    else if (e.counter > m->counter)
    {
        m->counter = e.counter;
        if (m->relisted && !confirm_running(*m, now))
            return;
    }
    else if (e.state != host_state::leaving || m->state == host_state::leaving)
        return;
    m->last_progress = now;
    last_zone_progress_[m->zone] = now;
    if (e.state == host_state::leaving && m->state != host_state::leaving)
    {
        m->state = host_state::leaving;
        m->changed_at = now;
        ++version_;
    }
    set_alive(*m, true, now);
}

// Records progress of a host that was listed again. Returns true, and clears `relisted`, on
// progress at least one period after the first.
bool membership::confirm_running(member& m, time_point now) const
{
    if (!m.relisted_progress_at)
        m.relisted_progress_at = now;
    if (now - *m.relisted_progress_at < settings_.period)
        return false;
    m.relisted = false;
    return true;
}

// Accepts a suspicion of a remote host from its own zone unless later progress is known. Hosts of
// the local zone are monitored directly.
void membership::apply_suspicion(member& m, heartbeat_entry const& e, time_point now)
{
    if (m.zone == zone_ || e.instance.run != m.instance.run || e.counter < m.counter)
        return;
    m.counter = e.counter;
    set_alive(m, false, now);
}

void membership::merge_self_entry(heartbeat_entry const& e)
{
    if (e.instance.run > self_.run)
        newer_own_run_ = std::max(newer_own_run_, e.instance.run);
}

void membership::set_alive(member& m, bool alive, time_point now)
{
    if (m.alive == alive)
        return;
    m.alive = alive;
    if (alive)
        m.alive_since = now;
    m.changed_at = now;
    ++version_;
}

bool membership::suspicion_expired(member const& m, time_point now) const
{
    bool const small = largest_zone_size_ <= settings_.small_zone;
    if (m.zone != zone_)
        return now - m.last_progress > settings_.suspicion_timeout_remote;
    return now - m.last_progress >
           (small ? settings_.suspicion_timeout_small : settings_.suspicion_timeout_large);
}

void membership::check_timeouts(time_point now)
{
    bool const small = largest_zone_size_ <= settings_.small_zone;
    duration const zone_timeout =
        small ? settings_.zone_timeout_small : settings_.zone_timeout_large;
    for (member& m : members_)
    {
        if (m.instance.host == self_.host || !m.alive)
            continue;
        if (m.zone != zone_ && now - last_zone_progress_[m.zone] > zone_timeout)
        {
            // Not propagated: it reflects the path to the zone rather than the state of the host.
            time_point const changed_at = m.changed_at;
            set_alive(m, false, now);
            m.changed_at = changed_at;
        }
        else if (suspicion_expired(m, now))
            set_alive(m, false, now);
    }
}

template<class Higher>
std::optional<host_id> membership::best_peer(Higher higher)
{
    std::optional<host_id> best;
    bool best_local = false;
    std::uint64_t candidates = 0;
    for (member const& m : members_)
    {
        bool const local = m.zone == zone_;
        if (m.instance.host == self_.host || !m.alive || !higher(m) || (best_local && !local))
            continue;
        if (local && !best_local)
        {
            best_local = true;
            candidates = 0;
        }
        if (random_() % ++candidates == 0) // reservoir sampling: each candidate is equally likely
            best = m.instance.host;
    }
    return best;
}

std::optional<host_id> membership::best_config_peer()
{
    return best_peer([this](member const& m) { return m.config > local_config_; });
}

std::optional<host_id> membership::best_list_peer()
{
    return best_peer([this](member const& m) { return m.list_version > local_list_version_; });
}

std::vector<host_id> membership::watchers() const
{
    std::vector<std::pair<std::uint64_t, host_id>> scored;
    for (member const& m : members_)
        if (m.zone == zone_ && m.alive && m.state == host_state::live)
            scored.emplace_back(hash_pair(watcher_hash_key + zone_.value, m.instance.host.value),
                                m.instance.host);
    std::sort(scored.rbegin(), scored.rend());
    scored.resize(std::min(scored.size(), watchers_per_zone));
    std::vector<host_id> result;
    result.reserve(scored.size());
    for (auto const& [score, id] : scored)
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
            now - m.alive_since >= settings_.settle_time)
            result.push_back(m.instance.host);
    return result;
}

std::optional<incarnation> membership::newer_own_run() const
{
    return newer_own_run_.value != 0 ? std::optional(newer_own_run_) : std::nullopt;
}

} // namespace chivelever
