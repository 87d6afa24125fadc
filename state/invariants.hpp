// Run-time invariant checks. A violation is counted and reported and the process continues; tests
// and soak runs fail if the count is not zero.
#ifndef CHIVELEVER_STATE_INVARIANTS_HPP
#define CHIVELEVER_STATE_INVARIANTS_HPP

#include <cstdint>
#include <functional>
#include <string_view>

namespace chivelever::invariants
{

// Sets the handler called for each violation. Not thread-safe: set it before threads start.
void on_violation(std::function<void(std::string_view rule, std::string_view detail)> handler);
void report(std::string_view rule, std::string_view detail);
std::uint64_t violations();
void reset();

inline void check(bool holds, std::string_view rule, std::string_view detail = {})
{
    if (!holds) [[unlikely]]
        report(rule, detail);
}

} // namespace chivelever::invariants

#endif
