// Configuration and cluster view at the target size: 420 hosts, 2,200 upstreams, 1,600 services.
#ifndef CHIVELEVER_BENCH_TARGET_HPP
#define CHIVELEVER_BENCH_TARGET_HPP

#include "coordination/coordination.hpp"

#include <string>
#include <utility>
#include <vector>

namespace chivelever
{

inline constexpr std::uint16_t host_count = 420;
inline constexpr std::uint32_t upstream_count = 2200;
inline constexpr std::uint32_t service_count = 1600;
inline constexpr std::uint8_t zone_count = 7;

inline fleet_config target_config()
{
    fleet_config c = empty_config();
    c.rev = {1000};
    for (std::uint8_t z = 0; z < zone_count; ++z)
        c.zones.push_back({{z}, "zone" + std::to_string(z)});
    for (std::uint32_t s = 1; s <= service_count; ++s)
        c.services.push_back({{s}, "service" + std::to_string(s)});
    for (std::uint32_t u = 1; u <= upstream_count; ++u)
        c.upstreams.push_back({{u},
                               "upstream" + std::to_string(u),
                               {1 + u % service_count},
                               {static_cast<std::uint8_t>(u % zone_count)},
                               {0x0a010000 + u, 9000},
                               {1},
                               3,
                               2000});
    return c;
}

inline cluster_view target_view()
{
    std::vector<cluster_entry> hosts;
    for (std::uint16_t h = 1; h <= host_count; ++h)
        hosts.push_back({{{h}, {h}},
                         {static_cast<std::uint8_t>(h % zone_count)},
                         host_state::live,
                         true,
                         {0x0a020000U + h, 7000}});
    return {{{1}, {1}}, {1}, std::move(hosts)};
}

} // namespace chivelever

#endif
