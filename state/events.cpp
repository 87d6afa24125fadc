#include "state/events.hpp"

#include <algorithm>
#include <utility>

namespace chivelever
{

hybrid_time hybrid_clock::now(std::int64_t unix_ms)
{
    std::lock_guard const lock(mutex_);
    hybrid_time const physical = static_cast<hybrid_time>(unix_ms) << 16;
    last_ = std::max(physical, last_ + 1);
    return last_;
}

hybrid_time hybrid_clock::observe(hybrid_time remote, std::int64_t unix_ms)
{
    std::lock_guard const lock(mutex_);
    hybrid_time const physical = static_cast<hybrid_time>(unix_ms) << 16;
    hybrid_time const limit = static_cast<hybrid_time>(unix_ms + max_skew_ms) << 16;
    hybrid_time const accepted = remote <= limit ? remote : 0;
    last_ = std::max({physical, last_ + 1, accepted + 1});
    return last_;
}

event_ring::event_ring(std::size_t capacity) : capacity_(capacity)
{
    ring_.reserve(capacity);
}

void event_ring::add(event e)
{
    std::lock_guard const lock(mutex_);
    if (ring_.size() < capacity_)
        ring_.push_back(std::move(e));
    else
        ring_[added_ % capacity_] = std::move(e);
    ++added_;
}

std::vector<event> event_ring::select(hybrid_time since, std::string_view subject) const
{
    std::vector<event> found;
    {
        std::lock_guard const lock(mutex_);
        for (event const& e : ring_)
            if (e.time >= since && e.subject.find(subject) != std::string::npos)
                found.push_back(e);
    }
    std::sort(found.begin(), found.end());
    return found;
}

std::uint64_t event_ring::overwritten() const
{
    std::lock_guard const lock(mutex_);
    return added_ - ring_.size();
}

} // namespace chivelever
