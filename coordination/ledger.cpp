#include "coordination/ledger.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{
// Compares serial numbers modulo 2^32.
bool serial_not_after(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) <= 0;
}
} // namespace

ledger::entry* ledger::find(flow_key const& flow, request_id request)
{
    auto const f = flows_.find(flow);
    if (f == flows_.end())
        return nullptr;
    auto const r = f->second.requests.find(request);
    return r == f->second.requests.end() ? nullptr : &r->second;
}

ledger::entry* ledger::admit(flow_key const& flow, time_point expires, request_id request,
                             bool idempotent)
{
    if (!evict_until_room())
        return nullptr;
    entry& e = find_or_add(flow, expires).requests[request];
    e.admitted = true;
    e.running = true;
    e.idempotent = idempotent;
    ++outcomes_;
    return &e;
}

void ledger::refuse(flow_key const& flow, time_point expires, request_id request,
                    packet_status status)
{
    if (refusals_ >= limits_.refusals)
    {
        auto const f = flows_.find(flow);
        if (f != flows_.end())
        {
            f->second.blocked = true;
            return;
        }
        if (blocked_until_ == time_point::min() || serial_not_after(blocked_serial_, flow.serial))
            blocked_serial_ = flow.serial;
        blocked_until_ = std::max(blocked_until_, expires);
        return;
    }
    entry& e = find_or_add(flow, expires).requests[request];
    e.status = status;
    ++refusals_;
}

void ledger::finish(flow_key const& flow, request_id request, packet_status status,
                    std::string_view payload)
{
    entry* const e = find(flow, request);
    if (e == nullptr || !e->running)
        return;
    e->running = false;
    e->status = status;
    e->payload.assign(payload);
    payload_bytes_ += e->payload.size();
    if (e->idempotent && status == packet_status::ok)
        evictable_.push_back({flow, request});
}

bool ledger::is_blocked(flow_key const& flow, time_point now) const
{
    auto const f = flows_.find(flow);
    if (f != flows_.end())
        return f->second.blocked;
    return now < blocked_until_ && serial_not_after(flow.serial, blocked_serial_);
}

void ledger::expire(time_point now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now)
    {
        auto const f = flows_.find(expiries_.begin()->second);
        for (auto const& [id, e] : f->second.requests)
            subtract_from_totals(e);
        flows_.erase(f);
        expiries_.erase(expiries_.begin());
    }
    while (!evictable_.empty() &&
           find(evictable_.front().flow, evictable_.front().request) == nullptr)
        evictable_.pop_front();
}

ledger::flow_record& ledger::find_or_add(flow_key const& flow, time_point expires)
{
    auto const [f, added] = flows_.try_emplace(flow);
    if (added)
    {
        f->second.expires = expires;
        expiries_.emplace(expires, flow);
    }
    return f->second;
}

// Evicts outcomes of idempotent requests, oldest first, until one more request fits.
bool ledger::evict_until_room()
{
    while (outcomes_ >= limits_.outcomes || payload_bytes_ >= limits_.payload_bytes)
    {
        if (evictable_.empty())
            return false;
        request_key const oldest = evictable_.front();
        evictable_.pop_front();
        if (entry const* const e = find(oldest.flow, oldest.request))
        {
            subtract_from_totals(*e);
            flows_.find(oldest.flow)->second.requests.erase(oldest.request);
        }
    }
    return true;
}

void ledger::subtract_from_totals(entry const& e)
{
    payload_bytes_ -= e.payload.size();
    if (e.admitted)
        --outcomes_;
    else
        --refusals_;
}

} // namespace chivelever
