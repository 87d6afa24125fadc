#include "coordination/flow_owners.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// A host of the zone answers within a few ms. One that has used up its share of the processor
// answers later; a caller should not wait for it, since its SYN has been delayed already.
constexpr duration answer_timeout = 30ms;
// Bounds the messages when a rotation change moves many callers that have no answer yet. Further
// SYNs are placed without asking.
constexpr std::size_t max_held_syns = 64;
// Flows last at most this long.
constexpr duration owner_retention = 60s;
// Bounds the memory that reports can take; further ones are ignored.
constexpr std::size_t max_known_owners = 4096;
// Four times what a caller has in flight at most: 16 packets of 1,200 bytes.
constexpr std::int64_t max_sequence_distance = 76'800;

} // namespace

bool in_sequence_window(std::uint32_t sequence, std::uint32_t next_sequence)
{
    auto const distance =
        static_cast<std::int64_t>(static_cast<std::int32_t>(sequence - next_sequence));
    return std::abs(distance) <= max_sequence_distance;
}

bool flow_owners::hold(caller_packet const& p, std::string_view raw, time_point now)
{
    auto const it = held_.find(p.flow);
    if (it != held_.end() && it->second.syn.header.sequence == p.sequence)
        return true;
    if (it == held_.end() && held_.size() >= max_held_syns)
        return false;
    held_.insert_or_assign(p.flow, held{{p, std::string(raw)}, now + answer_timeout});
    messages_.asked.push_back({p.flow, p.sequence, {}, false});
    return true;
}

std::vector<held_syn> flow_owners::take_unanswered(time_point now)
{
    std::vector<held_syn> out;
    for (auto it = held_.begin(); it != held_.end();)
    {
        if (it->second.deadline > now)
        {
            ++it;
            continue;
        }
        out.push_back(std::move(it->second.syn));
        it = held_.erase(it);
    }
    return out;
}

time_point flow_owners::next_deadline() const
{
    auto const first =
        std::ranges::min_element(held_, {}, [](auto const& item) { return item.second.deadline; });
    return first == held_.end() ? time_point{} : first->second.deadline;
}

std::optional<held_syn> flow_owners::learn(flow_owner const& owner, time_point now)
{
    if (owner.upstream.value == 0)
        return std::nullopt;
    store(owner, now);
    auto const waiting = held_.find(owner.flow);
    if (waiting == held_.end() || waiting->second.syn.header.sequence != owner.first_sequence)
        return std::nullopt;
    held_syn out = std::move(waiting->second.syn);
    held_.erase(waiting);
    return out;
}

void flow_owners::release(flow_owner const& asked)
{
    auto const it = held_.find(asked.flow);
    if (it != held_.end() && it->second.syn.header.sequence == asked.first_sequence)
        held_.erase(it);
}

flow_token flow_owners::find(flow_endpoints const& flow, std::uint32_t sequence) const
{
    auto const it = known_.find(flow);
    return it != known_.end() && in_sequence_window(sequence, it->second.first_sequence)
               ? it->second.upstream
               : flow_token{};
}

// The first host that reports a flow as open is the one through which it opened. One that got the
// flow later may have relied on the token of another upstream.
void flow_owners::store(flow_owner const& owner, time_point now)
{
    auto it = known_.find(owner.flow);
    if (it == known_.end() && known_.size() >= max_known_owners)
        return;
    if (it == known_.end() || it->second.first_sequence != owner.first_sequence)
        it = known_.insert_or_assign(owner.flow, known_owner{owner.first_sequence, {}, now}).first;
    if (owner.open && it->second.upstream.value == 0)
        it->second.upstream = owner.upstream;
}

bool flow_owners::is_first_of_contested(flow_endpoints const& flow, std::uint32_t sequence) const
{
    auto const it = known_.find(flow);
    return it != known_.end() && sequence == it->second.first_sequence + 1;
}

void flow_owners::report(flow_owner const& owner, time_point now)
{
    store(owner, now);
    messages_.known.push_back(owner);
}

flow_report flow_owners::take_messages()
{
    return std::exchange(messages_, {});
}

std::vector<flow_owner> flow_owners::all_reports() const
{
    std::vector<flow_owner> out;
    for (auto const& [flow, owner] : known_)
        out.push_back({flow, owner.first_sequence, owner.upstream, owner.upstream.value != 0});
    return out;
}

void flow_owners::expire(time_point now)
{
    std::erase_if(known_,
                  [&](auto const& item) { return now - item.second.since > owner_retention; });
}

} // namespace chivelever
