// Position in the platform's metadata store.
#ifndef CHIVELEVER_STATE_STORE_POSITION_HPP
#define CHIVELEVER_STATE_STORE_POSITION_HPP

#include <compare>
#include <cstdint>

namespace chivelever
{

// Revisions increase within an era. A restore from a backup starts the next era, in which revisions
// go back and are reused. A store that sends no era is always in era 0.
struct store_position
{
    std::uint64_t era{};
    std::uint64_t revision{};

    constexpr store_position() = default;
    constexpr store_position(std::uint64_t era, std::uint64_t revision)
        : era(era), revision(revision)
    {
    }
    // A bare revision belongs to era 0.
    constexpr store_position(std::uint64_t revision) : revision(revision) {}

    auto operator<=>(store_position const&) const = default;
};

} // namespace chivelever

#endif
