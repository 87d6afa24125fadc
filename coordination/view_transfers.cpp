#include "coordination/view_transfers.hpp"

namespace chivelever
{

namespace
{

// A row takes 60 to 120 bytes, so that smaller views occupy a link of 10 Mbit/s for 50 ms at most.
constexpr std::size_t large_view_rows = 500;
// Two use a link well although each waits for its receiver at times.
constexpr std::size_t max_large_transfers = 2;

} // namespace

view_transfers::slot view_transfers::begin(std::size_t rows)
{
    if (rows <= large_view_rows)
        return active_;
    if (*active_ >= max_large_transfers)
        return nullptr;
    ++*active_;
    return slot(active_.get(), [counter = active_](void const*) { --*counter; });
}

} // namespace chivelever
