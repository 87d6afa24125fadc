#include "state/invariants.hpp"

#include <atomic>
#include <utility>

namespace chivelever::invariants
{

namespace
{
std::atomic<std::uint64_t> violation_count{0};
std::function<void(std::string_view, std::string_view)>& handler()
{
    static std::function<void(std::string_view, std::string_view)> h;
    return h;
}
} // namespace

void on_violation(std::function<void(std::string_view, std::string_view)> new_handler)
{
    handler() = std::move(new_handler);
}

void report(std::string_view rule, std::string_view detail)
{
    violation_count.fetch_add(1, std::memory_order_relaxed);
    if (handler())
        handler()(rule, detail);
}

std::uint64_t violations()
{
    return violation_count.load(std::memory_order_relaxed);
}
void reset()
{
    violation_count.store(0, std::memory_order_relaxed);
}

} // namespace chivelever::invariants
