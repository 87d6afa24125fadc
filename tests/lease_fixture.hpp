// Helpers shared by the lease tests.
#ifndef CHIVELEVER_TESTS_LEASE_FIXTURE_HPP
#define CHIVELEVER_TESTS_LEASE_FIXTURE_HPP

#include "coordination/coordination.hpp"

#include <chrono>
#include <utility>
#include <vector>

namespace chivelever
{

inline constexpr time_point origin{std::chrono::hours(1)};

inline host_list make_list(std::uint64_t version,
                           std::vector<std::pair<int, int>> const& host_and_zone)
{
    host_list l{version, {}};
    for (auto const& [host, zone] : host_and_zone)
        l.hosts.push_back({listed_kind::entry, static_cast<std::uint32_t>(host),
                           zone_id{static_cast<std::uint8_t>(zone)}, host_state::live});
    return l;
}

inline pool_id pool_of(int service, int zone = 1)
{
    return {{static_cast<std::uint32_t>(service)}, {static_cast<std::uint8_t>(zone)}};
}

} // namespace chivelever

#endif
