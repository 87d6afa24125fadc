#include "state/config.hpp"

#include <algorithm>

namespace chivelever
{

std::array<fleet_setting_spec, setting_count> const fleet_setting_specs{{
    {"max_request_deadline_ms", "ms", 1500, 50, 1500,
     "longest deadline of a request; a longer one is cut, so that no work outlives a pool lease"},
    {"retry_budget_percent", "%", 10, 0, 100, "retries allowed per 100 requests offered"},
    {"queue_limit", "requests", 256, 0, 10000, "requests that wait in a pool for a free slot"},
    {"cold_limit", "requests", 1, 1, 1000, "outstanding requests at an upstream in cold start"},
    {"warm_up_answers", "answers", 4, 1, 1000,
     "answers on time in a row that raise an upstream's limit by one"},
    {"zone_ramp_seconds", "s", 30, 0, 600,
     "time in which a returning zone's share of new work grows from 10% to 100%"},
    {"request_flow_lifetime_s", "s", 30, 5, 300,
     "time from its issue for which a request flow id is accepted"},
    {"spill_to_other_zones", "0 or 1", 1, 0, 1,
     "whether new work goes to another zone when the nearest has no place"},
    {"weight", "%", 100, 0, 1000, "share of new work relative to equal upstreams"},
}};

std::optional<setting> find_setting(std::string_view name)
{
    for (std::size_t i = 0; i < setting_count; ++i)
        if (fleet_setting_specs[i].name == name)
            return static_cast<setting>(i);
    return {};
}

fleet_config empty_config()
{
    fleet_config config;
    for (std::size_t i = 0; i < setting_count; ++i)
        config.defaults[i] = fleet_setting_specs[i].default_value;
    return config;
}

namespace
{

std::string const* name_of(fleet_config const& c, service_id id)
{
    auto const it = std::find_if(c.services.begin(), c.services.end(),
                                 [id](service_config const& s) { return s.id == id; });
    return it == c.services.end() ? nullptr : &it->name;
}

std::string const* name_of(fleet_config const& c, zone_id id)
{
    auto const it = std::find_if(c.zones.begin(), c.zones.end(),
                                 [id](zone_config const& z) { return z.id == id; });
    return it == c.zones.end() ? nullptr : &it->name;
}

std::string const* name_of(fleet_config const& c, upstream_id id)
{
    auto const it = std::find_if(c.upstreams.begin(), c.upstreams.end(),
                                 [id](upstream_config const& u) { return u.id == id; });
    return it == c.upstreams.end() ? nullptr : &it->name;
}

exception_entry const* find_exception(fleet_config const& c, setting key, std::string_view kind,
                                      std::string const* name)
{
    if (name == nullptr)
        return nullptr;
    std::string const scope = std::string(kind) + "/" + *name;
    for (exception_entry const& e : c.exceptions)
        if (e.key == key && e.scope == scope)
            return &e;
    return nullptr;
}

} // namespace

std::int64_t effective_value(fleet_config const& config, setting key, service_id service,
                             std::optional<zone_id> zone, std::optional<upstream_id> upstream)
{
    if (!config.exceptions.empty())
    {
        if (upstream)
            if (auto const* e = find_exception(config, key, "upstream", name_of(config, *upstream)))
                return e->value;
        if (auto const* e = find_exception(config, key, "service", name_of(config, service)))
            return e->value;
        if (zone)
            if (auto const* e = find_exception(config, key, "zone", name_of(config, *zone)))
                return e->value;
    }
    return config.defaults[static_cast<std::size_t>(key)];
}

} // namespace chivelever
