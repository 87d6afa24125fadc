// Conflict detection between concurrent configuration changes.
#include "coordination/config_rules.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace chivelever
{

namespace
{

// Collects a string for each name, id, address and setting that an operation changes. Operations
// conflict if they have a string in common.
struct key_collector
{
    std::set<std::string>& keys;
    void operator()(set_default const& o) const { keys.insert("default/" + o.key); }
    void operator()(put_zone const& o) const
    {
        keys.insert("zone/" + o.zone.name);
        keys.insert("zone-id/" + std::to_string(o.zone.id.value));
    }
    void operator()(put_service const& o) const
    {
        keys.insert("service/" + o.service.name);
        keys.insert("service-id/" + std::to_string(o.service.id.value));
    }
    void operator()(put_upstream const& o) const
    {
        keys.insert("upstream/" + o.upstream.name);
        keys.insert("upstream-id/" + std::to_string(o.upstream.id.value));
        keys.insert("address/" + to_string(o.upstream.address));
    }
    void operator()(set_upstream_state const& o) const { keys.insert("upstream/" + o.name); }
    // All zone state changes share one key, because the last zone that is in must not be taken out.
    void operator()(set_zone_state const&) const { keys.insert("zone states"); }
    void operator()(add_exception const& o) const { keys.insert(o.scope + " " + o.key); }
    void operator()(remove_exception const& o) const { keys.insert(o.scope + " " + o.key); }
    void operator()(rotate_key const&) const { keys.insert("key epoch"); }
};

} // namespace

bool independent(config_change const& a, config_change const& b)
{
    std::set<std::string> keys_a;
    std::set<std::string> keys_b;
    for (operation const& op : a.operations)
        std::visit(key_collector{keys_a}, op);
    for (operation const& op : b.operations)
        std::visit(key_collector{keys_b}, op);
    return std::none_of(keys_a.begin(), keys_a.end(),
                        [&](std::string const& key) { return keys_b.contains(key); });
}

} // namespace chivelever
