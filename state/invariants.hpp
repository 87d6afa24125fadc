// Assertions of what must always hold. A violation is counted and reported, and the process goes
// on; tests and runs fail on the count.
#ifndef CHIVELEVER_STATE_INVARIANTS_HPP
#define CHIVELEVER_STATE_INVARIANTS_HPP

#include <cstdint>
#include <functional>
#include <string_view>

namespace chivelever::invariants
{

// Called for each violation; set once at start, before threads run.
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
