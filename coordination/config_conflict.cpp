// Which changes of racing operators may follow each other unchanged.
#include "coordination/config_rules.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace chivelever
{

namespace
{

// What an operation reads or writes, as comparable words.
struct touched
{
    std::set<std::string>& out;
    void operator()(set_default const& o) const { out.insert("default/" + o.key); }
    void operator()(put_zone const& o) const
    {
        out.insert("zone/" + o.zone.name);
        out.insert("zone-id/" + std::to_string(o.zone.id.value));
    }
    void operator()(put_service const& o) const
    {
        out.insert("service/" + o.service.name);
        out.insert("service-id/" + std::to_string(o.service.id.value));
    }
    void operator()(put_upstream const& o) const
    {
        out.insert("upstream/" + o.upstream.name);
        out.insert("upstream-id/" + std::to_string(o.upstream.id.value));
        out.insert("address/" + to_string(o.upstream.address));
    }
    void operator()(set_upstream_state const& o) const { out.insert("upstream/" + o.name); }
    // Zones depend on each other by the rule about the last zone that is in.
    void operator()(set_zone_state const&) const { out.insert("zone states"); }
    void operator()(add_exception const& o) const { out.insert(o.scope + " " + o.key); }
    void operator()(remove_exception const& o) const { out.insert(o.scope + " " + o.key); }
    void operator()(rotate_key const&) const { out.insert("key epoch"); }
};

} // namespace

bool independent(config_change const& a, config_change const& b)
{
    std::set<std::string> first;
    std::set<std::string> second;
    for (operation const& op : a.operations)
        std::visit(touched{first}, op);
    for (operation const& op : b.operations)
        std::visit(touched{second}, op);
    return std::none_of(first.begin(), first.end(),
                        [&](std::string const& s) { return second.contains(s); });
}

} // namespace chivelever
