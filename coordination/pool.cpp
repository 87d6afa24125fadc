#include "coordination/pool.hpp"

#include <algorithm>
#include <utility>

namespace chivelever
{

namespace
{
// A repeated open within this time returns the same flow id.
constexpr duration open_repeat_window = std::chrono::seconds(2);
constexpr std::size_t max_recent_opens = 4096;
// A flow is no longer counted after this time, in case its close was lost.
constexpr duration max_counted_flow_age = std::chrono::hours(1);
// For this time after it joins, an upstream gets at most twice its share of new flows. Otherwise it
// would get all of them until its flow count matches the others.
constexpr duration new_upstream_ramp_time = std::chrono::seconds(10);

std::uint32_t wrapping_clock_ms(time_point t)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(t.time_since_epoch()).count());
}
} // namespace

pool::pool(pool_id id, host_instance self, std::uint32_t first_serial, std::uint32_t attempt_seed,
           ledger_limits limits)
    : id_(id), self_(self), first_serial_(first_serial), next_serial_(first_serial),
      oldest_counted_(first_serial), next_attempt_((std::uint64_t{attempt_seed} << 32) + 1),
      ledger_(limits)
{
}

std::int64_t pool::effective_setting(setting key) const
{
    return effective_value(table_->config(), key, id_.service, id_.zone);
}

std::uint32_t pool::index_of(upstream_id id) const
{
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
        if (upstreams_[i].config.id == id)
            return static_cast<std::uint32_t>(i);
    return no_index;
}

void pool::update(routing_table_ptr table, time_point now)
{
    table_ = std::move(table);
    budget_.set_percent(effective_setting(setting::retry_budget_percent));
    for (upstream& u : upstreams_)
        u.takes_work = u.takes_work && table_->find(u.config.id) != nullptr;
    for (upstream_config const* const u : table_->pool(id_))
        update_upstream(*u, now);
}

// Applies the configuration of one upstream. Its limit restarts cold if the address has a new owner
// or the upstream takes new work again.
void pool::update_upstream(upstream_config const& u, time_point now)
{
    std::uint32_t index = index_of(u.id);
    if (index == no_index)
    {
        auto const unused = std::find_if(upstreams_.begin(), upstreams_.end(),
                                         [this](upstream const& k) {
                                             return table_->find(k.config.id) == nullptr &&
                                                    k.occupied() + k.flows == 0;
                                         });
        index = static_cast<std::uint32_t>(unused - upstreams_.begin());
        if (unused == upstreams_.end())
            upstreams_.emplace_back();
        else
            *unused = {};
    }
    upstream& known = upstreams_[index];
    double const weight = static_cast<double>(
        effective_value(table_->config(), setting::weight, id_.service, id_.zone, u.id));
    bool const takes_work = table_->takes_new_work(u) && weight > 0;
    if (known.config.owner != u.owner || (takes_work && !known.takes_work))
    {
        known.limit.start_cold(now);
        known.joined_at = now;
    }
    known.config = u;
    known.takes_work = takes_work;
    known.weight = weight;
    auto const setting_value = [&](setting key)
    {
        return static_cast<std::uint16_t>(std::clamp<std::int64_t>(
            effective_value(table_->config(), key, id_.service, id_.zone, u.id), 1,
            std::numeric_limits<std::uint16_t>::max()));
    };
    known.limit.configure({u.slots, setting_value(setting::cold_limit),
                           setting_value(setting::warm_up_answers), u.id.value});
}

void pool::set_lease(std::optional<time_point> valid_until)
{
    lease_ = valid_until;
    leased_since_reset_ = leased_since_reset_ || valid_until;
}

// Once the lease is lost, another holder may have used the upstreams, so their limits restart cold.
void pool::reset_after_lease_loss(time_point now)
{
    leased_since_reset_ = false;
    lease_.reset();
    for (upstream& u : upstreams_)
    {
        u.limit.start_cold(now);
        u.last_sent = time_point::min();
    }
}

void pool::on_open(packet_view const& p, time_point now, std::vector<send_packet>& out)
{
    auto const refuse = [&](packet_status status)
    {
        ++stats_.opens_refused;
        reply(p, status, {}, out);
    };
    if (p.service != id_.service)
    {
        ++stats_.misrouted;
        return;
    }
    std::uint64_t const repeat_key =
        hash_pair(hash_pair(p.caller.packed(), p.request.value), static_cast<unsigned>(p.flow));
    if (auto const it = recent_opens_.find(repeat_key);
        p.request.value != 0 && it != recent_opens_.end() &&
        now - it->second.opened < open_repeat_window)
    {
        last_issued_id_ = it->second.id;
        send_opened(p, last_issued_id_, out);
        return;
    }
    if (shutting_down_)
        return refuse(packet_status::not_run_shutting_down);
    if (!table_ || !holds_lease(now))
        return refuse(packet_status::not_run_moved);
    if (!any_upstream_takes_work())
        return refuse(packet_status::not_run_no_upstream);
    upstream* chosen = nullptr;
    if (p.flow != flow_kind::request)
    {
        std::uint32_t const index = pick_for_flow(now);
        if (index == no_index)
            return refuse(packet_status::not_run_overloaded);
        for (upstream& u : upstreams_)
            ++u.opens_since_pick;
        chosen = &upstreams_[index];
        chosen->opens_since_pick = 0;
        ++chosen->flows;
        flows_.emplace(next_serial_, counted_flow{index, now});
    }
    last_issued_id_ = issue_flow_id(p.flow, chosen, now);
    if (p.request.value != 0 && recent_opens_.size() < max_recent_opens)
        recent_opens_.insert_or_assign(repeat_key, recent_open{last_issued_id_, now});
    if (p.flow == flow_kind::request)
    {
        while (!request_flows_.empty() && request_flows_.front().expires <= now)
            request_flows_.pop_front();
        request_flows_.push_back({last_request_flow_expiry_, p.caller, last_issued_id_});
    }
    ++stats_.opened;
    send_opened(p, last_issued_id_, out);
}

void pool::notify_callers(time_point now, std::vector<send_packet>& out)
{
    for (issued_request_flow const& f : request_flows_)
    {
        if (f.expires <= now)
            continue;
        packet_view p;
        p.kind = packet_kind::given_up;
        p.flow = flow_kind::request;
        p.status = packet_status::not_run_moved;
        p.service = id_.service;
        p.caller = f.caller;
        p.flow_id = as_view(f.id);
        out.push_back({f.caller, p});
    }
}

void pool::send_opened(packet_view const& p, encoded_flow_id const& id,
                       std::vector<send_packet>& out)
{
    packet_view r;
    r.kind = packet_kind::opened;
    r.flow = p.flow;
    r.service = id_.service;
    r.request = p.request;
    r.caller = p.caller;
    r.flow_id = as_view(id);
    out.push_back({p.caller, r});
}

// Returns the upstream with the fewest flows per weight among those with a free connection.
std::uint32_t pool::pick_for_flow(time_point now) const
{
    auto const candidates = std::count_if(upstreams_.begin(), upstreams_.end(),
                                          [](upstream const& u) { return u.takes_work; });
    auto const least_loaded = [&](bool limit_new_upstreams)
    {
        std::uint32_t index = no_index;
        double least_load = 0;
        for (std::size_t i = 0; i < upstreams_.size(); ++i)
        {
            upstream const& u = upstreams_[i];
            std::uint32_t const flows = u.flows + u.inherited_flows;
            if (!u.takes_work || flows >= u.config.connections)
                continue;
            if (limit_new_upstreams && now - u.joined_at < new_upstream_ramp_time &&
                2 * (u.opens_since_pick + 1) < static_cast<std::uint32_t>(candidates))
                continue;
            double const load = (flows + 1) / u.weight;
            if (index == no_index || load < least_load)
            {
                index = static_cast<std::uint32_t>(i);
                least_load = load;
            }
        }
        return index;
    };
    std::uint32_t const index = least_loaded(true);
    return index != no_index ? index : least_loaded(false);
}

// Creates a signed flow id. `u` is null for a request flow, whose requests this host executes.
encoded_flow_id pool::issue_flow_id(flow_kind kind, upstream const* u, time_point now)
{
    flow_id id;
    id.kind = kind;
    id.zone = id_.zone;
    id.service = id_.service;
    id.issuer = self_;
    id.config = table_->rev();
    id.serial = next_serial_++;
    if (u != nullptr)
    {
        id.upstream = u->config.id;
        id.upstream_owner = u->config.owner;
        id.address = u->config.address;
    }
    else
    {
        time_point const expires =
            now + std::chrono::seconds(effective_setting(setting::request_flow_lifetime_s));
        id.expires_ms = wrapping_clock_ms(expires);
        last_request_flow_expiry_ =
            std::max(last_request_flow_expiry_, expires + std::chrono::milliseconds(1));
    }
    return table_->signer().sign(id);
}

void pool::on_close(flow_id const& flow)
{
    if (flow.service != id_.service || flow.zone != id_.zone)
    {
        ++stats_.misrouted;
        return;
    }
    if (flow.issuer == self_)
    {
        auto const it = flows_.find(flow.serial);
        if (it == flows_.end())
            return; // already closed or expired
        --upstreams_[it->second.upstream].flows;
        flows_.erase(it);
        return;
    }
    std::uint32_t const index = index_of(flow.upstream);
    if (index != no_index && upstreams_[index].inherited_flows > 0)
        --upstreams_[index].inherited_flows;
}

// Stops counting flows older than max_counted_flow_age, whose close must have been lost, and
// removes old entries of recent_opens_. Serial numbers increase with time.
void pool::expire_flows(time_point now)
{
    while (oldest_counted_ != next_serial_)
    {
        auto const it = flows_.find(oldest_counted_);
        if (it != flows_.end())
        {
            if (now - it->second.opened < max_counted_flow_age)
                break;
            --upstreams_[it->second.upstream].flows;
            flows_.erase(it);
        }
        ++oldest_counted_;
    }
    std::erase_if(recent_opens_,
                  [&](auto const& o) { return now - o.second.opened >= open_repeat_window; });
}

pool_handover pool::hand_over(time_point now)
{
    pool_handover h;
    h.pool = id_;
    h.from = self_;
    lease_.reset();
    for (std::size_t i = 0; i < upstreams_.size(); ++i)
    {
        upstream const& u = upstreams_[i];
        outstanding_item item;
        item.upstream = u.config.id;
        item.count = static_cast<std::uint16_t>(u.occupied());
        item.limit = u.limit.probing() ? std::uint16_t{0} : u.limit.limit();
        item.flows = u.flows + u.inherited_flows;
        time_point end = u.inherited > 0 ? u.inherited_until : now;
        for (auto const& [id, a] : attempts_)
            if (a.upstream == i)
                end = std::max(end, a.deadline + std::chrono::milliseconds(1));
        item.remaining_ms = static_cast<std::uint32_t>(
            std::chrono::ceil<std::chrono::milliseconds>(end - now).count());
        if (item.count != 0 || item.flows != 0 || u.takes_work)
            h.upstreams.push_back(item);
    }
    return h;
}

void pool::accept_handover(pool_handover const& h, time_point now)
{
    if (h.pool != id_ || h.from == self_)
        return;
    for (outstanding_item const& item : h.upstreams)
    {
        std::uint32_t const index = index_of(item.upstream);
        if (index == no_index)
            continue;
        upstream& u = upstreams_[index];
        u.inherited = item.count;
        u.inherited_until = now + std::chrono::milliseconds(item.remaining_ms);
        u.inherited_flows = item.flows;
        if (u.last_sent == time_point::min() && item.limit > 0)
            u.limit.restore_limit(item.limit);
    }
}

pool_stats pool::stats() const
{
    pool_stats s = stats_;
    s.queued = queue_.size();
    s.ledger_entries = ledger_.size();
    s.ledger_bytes = ledger_.payload_bytes();
    for (upstream const& u : upstreams_)
    {
        s.outstanding += u.occupied();
        s.flows += u.flows + u.inherited_flows;
        if (u.takes_work)
            s.limit += u.limit.limit();
    }
    return s;
}

} // namespace chivelever
