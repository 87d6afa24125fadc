// Small configuration and changes to it, shared by tests.
#ifndef CHIVELEVER_TESTS_CONFIG_SAMPLE_HPP
#define CHIVELEVER_TESTS_CONFIG_SAMPLE_HPP

#include "coordination/coordination.hpp"

#include <cstdio>
#include <string>
#include <utility>
#include <vector>

namespace sample
{

inline std::string change_id(std::uint64_t n)
{
    char text[33]{};
    std::snprintf(text, sizeof text, "%032llx", static_cast<unsigned long long>(n));
    return text;
}

inline chivelever::config_change change(std::uint64_t rev, std::uint64_t id,
                                        std::vector<chivelever::operation> operations)
{
    return {{rev}, change_id(id), "ana", "test", 1'700'000'000'000, std::move(operations)};
}

inline chivelever::upstream_config upstream(std::uint32_t id, std::uint32_t service,
                                            std::string const& address)
{
    chivelever::upstream_config u;
    u.id = {id};
    u.name = "u" + std::to_string(id);
    u.service = {service};
    u.zone = {1};
    u.address = chivelever::parse_endpoint(address);
    u.slots = 3;
    u.connections = 2000;
    return u;
}

// Revision 1: zones akl and wlg, services desk and bulk, upstreams u1 (desk) and u2 (bulk).
inline chivelever::config_change first_change()
{
    using namespace chivelever;
    return change(1, 1,
                  {put_zone{{{1}, "akl"}}, put_zone{{{2}, "wlg"}}, put_service{{{1}, "desk"}},
                   put_service{{{2}, "bulk"}}, put_upstream{upstream(1, 1, "127.0.1.1:9000")},
                   put_upstream{upstream(2, 2, "127.0.1.2:9000")}});
}

} // namespace sample

#endif
