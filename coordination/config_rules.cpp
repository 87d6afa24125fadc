#include "coordination/config_rules.hpp"

#include <algorithm>
#include <set>
#include <string>

namespace chivelever
{

namespace
{

constexpr std::size_t change_id_characters = 32;
constexpr std::size_t max_author_characters = 128;
constexpr std::size_t max_reason_characters = 1024;
constexpr std::size_t max_operations = 1024;
constexpr std::uint32_t max_slots = 10'000;
constexpr std::uint32_t max_connections = 1'000'000;
constexpr std::size_t max_zones = 64;
constexpr std::size_t max_services = 4096;
constexpr std::size_t max_active_upstreams = 5000;
constexpr std::size_t max_exceptions = 1024;

template<class T, class Id>
auto find_id(T& items, Id id)
{
    auto const it =
        std::find_if(items.begin(), items.end(), [&](auto const& x) { return x.id == id; });
    return it == items.end() ? nullptr : &*it;
}

template<class T>
auto find_name(T& items, std::string const& name)
{
    auto const it =
        std::find_if(items.begin(), items.end(), [&](auto const& x) { return x.name == name; });
    return it == items.end() ? nullptr : &*it;
}

template<class T>
void insert_by_id(std::vector<T>& items, T item)
{
    auto const at = std::lower_bound(items.begin(), items.end(), item,
                                     [](T const& a, T const& b) { return a.id < b.id; });
    items.insert(at, std::move(item));
}

bool is_blank(unsigned char c)
{
    return c <= ' ';
}

std::size_t count_visible_characters(std::string const& s)
{
    return static_cast<std::size_t>(
        std::count_if(s.begin(), s.end(), [](unsigned char c) { return !is_blank(c); }));
}

bool is_name(std::string const& s)
{
    return !s.empty() && s.size() <= 64 &&
           std::all_of(s.begin(), s.end(),
                       [](unsigned char c)
                       {
                           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
                       });
}

// Applies the operations of one change to a copy of the document.
class change_applier
{
public:
    change_applier(fleet_config const& config, config_change const& change,
                   revision in_force_everywhere)
        : next_(config), change_(change), in_force_everywhere_(in_force_everywhere)
    {
    }

    checked<fleet_config> run()
    {
        check_metadata();
        for (operation const& op : change_.operations)
        {
            ++operation_number_;
            std::visit([this](auto const& o) { apply_operation(o); }, op);
        }
        next_.rev = change_.rev;
        next_.last_change = change_.change_id;
        remove_oldest_retired();
        findings document_findings = validate(next_);
        findings_.insert(findings_.end(), document_findings.begin(), document_findings.end());
        if (!findings_.empty())
            return findings_error(std::move(findings_));
        return std::move(next_);
    }

private:
    void add_finding(std::string key, std::string message)
    {
        std::string where =
            operation_number_ == 0 ? "change" : "operation " + std::to_string(operation_number_);
        findings_.push_back({"", std::move(where), std::move(key), 0, std::move(message)});
    }

    void check_metadata()
    {
        if (change_.rev.value != next_.rev.value + 1)
            add_finding("revision", "revision " + std::to_string(change_.rev.value) +
                                        " does not follow " + std::to_string(next_.rev.value));
        bool const hex =
            std::all_of(change_.change_id.begin(), change_.change_id.end(),
                        [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
        if (change_.change_id.size() != change_id_characters || !hex)
            add_finding("change_id", "must be 32 lower-case hexadecimal digits");
        if (count_visible_characters(change_.author) == 0 ||
            change_.author.size() > max_author_characters)
            add_finding("author", "must have 1 to 128 characters");
        if (change_.reason.size() > max_reason_characters)
            add_finding("reason", "longer than 1024 characters");
        if (change_.time_ms <= 0)
            add_finding("time_ms", "time of the change is missing");
        if (change_.operations.empty() || change_.operations.size() > max_operations)
            add_finding("operations", "must have 1 to 1024 operations");
    }

    void apply_operation(set_default const& o)
    {
        auto const key = find_setting(o.key);
        if (!key)
            return add_finding(o.key, "no setting has this name");
        next_.defaults[static_cast<std::size_t>(*key)] = o.value;
    }

    // The state of a zone is changed only by set_zone_state, which refuses to take out the last
    // zone that is in.
    void apply_operation(put_zone const& o)
    {
        if (auto* z = find_id(next_.zones, o.zone.id))
        {
            z->name = o.zone.name;
            return;
        }
        if (o.zone.state != zone_state::in)
            add_finding(o.zone.name, "a new zone must have state in");
        zone_config z = o.zone;
        z.changed_at = change_.rev;
        insert_by_id(next_.zones, std::move(z));
    }

    void apply_operation(put_service const& o)
    {
        if (auto* s = find_id(next_.services, o.service.id))
            s->name = o.service.name;
        else
            insert_by_id(next_.services, o.service);
    }

    void apply_operation(put_upstream const& o)
    {
        upstream_config u = o.upstream;
        if (u.state != upstream_state::active)
            add_finding(u.name, "an upstream must be put with state active");
        u.state = upstream_state::active;
        u.retired_at = {};
        if (auto* old = find_id(next_.upstreams, u.id))
            return update_upstream(*old, u);
        u.owner = {1};
        claim_address(u);
        insert_by_id(next_.upstreams, std::move(u));
    }

    // Flow ids encode the service, zone and address of an upstream; changing one of them would
    // break its flows.
    void update_upstream(upstream_config& old, upstream_config u)
    {
        if (old.service != u.service || old.zone != u.zone || old.address != u.address)
            return add_finding(u.name, "service, zone and address of upstream " + old.name +
                                           " are fixed; add it under a new id");
        u.owner = old.owner;
        if (old.state == upstream_state::draining)
            u.state = upstream_state::draining;
        old = std::move(u);
    }

    // Assigns the address to a new upstream under a new incarnation. Released upstreams of other
    // services lose the address, so that none of their flows reaches the new service.
    void claim_address(upstream_config& u)
    {
        for (upstream_config const& other : next_.upstreams)
        {
            if (other.address != u.address)
                continue;
            u.owner.value = std::max(u.owner.value, other.owner.value + 1);
            if (other.service != u.service)
                check_address_release(u, other);
        }
        std::erase_if(next_.upstreams,
                      [&](upstream_config const& other)
                      {
                          return other.address == u.address && other.service != u.service &&
                                 other.state == upstream_state::released;
                      });
    }

    // A host where the upstream is still retired forwards the packets of its flows to the address,
    // so the address is free only after every host has applied the release.
    void check_address_release(upstream_config const& u, upstream_config const& other)
    {
        std::string const former = "address " + to_string(u.address) +
                                   " was assigned to upstream " + other.name +
                                   " of another service, ";
        if (other.state == upstream_state::retired)
            add_finding(u.name, former +
                                    "which is retired and still receives the packets of its flows; "
                                    "release it first");
        if (other.state == upstream_state::released && other.retired_at > in_force_everywhere_)
            add_finding(u.name, former + "whose release in revision " +
                                    std::to_string(other.retired_at.value) +
                                    " is not yet in force on every listed host");
    }

    void apply_operation(set_upstream_state const& o)
    {
        auto* u = find_name(next_.upstreams, o.name);
        if (u == nullptr)
            return add_finding(o.name, "no upstream has this name");
        if (u->state >= upstream_state::retired && o.state < upstream_state::retired)
            return add_finding(o.name, "is retired; put it again to use it");
        if (o.state == upstream_state::released && u->state < upstream_state::retired)
            return add_finding(o.name, "is not retired; retire it before releasing its address");
        if (u->state == upstream_state::released && o.state == upstream_state::retired)
            return add_finding(o.name, "is released, which cannot be undone");
        if (u->state != o.state && o.state >= upstream_state::retired)
            u->retired_at = change_.rev;
        u->state = o.state;
    }

    void apply_operation(set_zone_state const& o)
    {
        auto* z = find_name(next_.zones, o.name);
        if (z == nullptr)
            return add_finding(o.name, "no zone has this name");
        if (o.state == zone_state::out)
        {
            bool const other_in =
                std::any_of(next_.zones.begin(), next_.zones.end(),
                            [&](zone_config const& other)
                            { return &other != z && other.state != zone_state::out; });
            if (!other_in)
                return add_finding(o.name, "is the last zone that is in");
        }
        // A zone that was out becomes returning, and its share of new work grows over
        // zone_ramp_seconds. Repeating the request does not restart this.
        zone_state const to = o.state == zone_state::out    ? zone_state::out
                              : z->state == zone_state::out ? zone_state::returning
                              : o.state == zone_state::in   ? z->state
                                                            : o.state;
        if (z->state == to)
            return;
        z->state = to;
        z->changed_at = change_.rev;
    }

    void apply_operation(add_exception const& o)
    {
        auto const key = find_setting(o.key);
        if (!key)
            return add_finding(o.key, "no setting has this name");
        std::erase_if(next_.exceptions, [&](exception_entry const& e)
                      { return e.scope == o.scope && e.key == *key; });
        next_.exceptions.push_back(
            {o.scope, *key, o.value, o.reason, change_.author, change_.time_ms});
    }

    void apply_operation(remove_exception const& o)
    {
        auto const key = find_setting(o.key);
        if (!key)
            return add_finding(o.key, "no setting has this name");
        auto const removed = std::erase_if(next_.exceptions, [&](exception_entry const& e)
                                           { return e.scope == o.scope && e.key == *key; });
        if (removed == 0)
            add_finding(o.scope, "has no exception for " + o.key);
    }

    void apply_operation(rotate_key const&) { ++next_.key_epoch; }

    void remove_oldest_retired()
    {
        std::vector<std::pair<revision, upstream_id>> retired;
        for (upstream_config const& u : next_.upstreams)
            if (u.state >= upstream_state::retired)
                retired.emplace_back(u.retired_at, u.id);
        if (retired.size() <= max_retired_upstreams)
            return;
        std::sort(retired.begin(), retired.end());
        retired.resize(retired.size() - max_retired_upstreams);
        std::set<upstream_id> removed_ids;
        for (auto const& [rev, id] : retired)
            removed_ids.insert(id);
        std::erase_if(next_.upstreams,
                      [&](upstream_config const& u) { return removed_ids.contains(u.id); });
    }

    fleet_config next_;
    config_change const& change_;
    revision in_force_everywhere_;
    int operation_number_{}; // of the current operation; 0 before the first
    findings findings_;
};

// Checks one complete document.
class document_validator
{
public:
    explicit document_validator(fleet_config const& c) : config_(c) {}

    findings run()
    {
        check_count("zones", config_.zones.size(), max_zones);
        check_count("services", config_.services.size(), max_services);
        check_count("exceptions", config_.exceptions.size(), max_exceptions);
        check_names("zones", config_.zones);
        check_names("services", config_.services);
        check_names("upstreams", config_.upstreams);
        for (std::size_t i = 0; i < setting_count; ++i)
            check_value("defaults", static_cast<setting>(i), config_.defaults[i]);
        check_upstreams();
        check_exceptions();
        return std::move(findings_);
    }

private:
    void add_finding(std::string where, std::string key, std::string message)
    {
        findings_.push_back({"", std::move(where), std::move(key), 0, std::move(message)});
    }

    void check_count(std::string const& where, std::size_t count, std::size_t limit)
    {
        if (count > limit)
            add_finding(where, "", "more than " + std::to_string(limit));
    }

    template<class T>
    void check_names(std::string const& where, std::vector<T> const& items)
    {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < items.size(); ++i)
        {
            if (!is_name(items[i].name))
                add_finding(where, items[i].name.substr(0, 64),
                            "a name must have 1 to 64 letters, digits, '.', '_' or '-'");
            if (!seen.insert(items[i].name).second)
                add_finding(where, items[i].name, "duplicate name");
            if (items[i].id.value == 0)
                add_finding(where, items[i].name, "id must not be 0");
            if (i > 0 && !(items[i - 1].id < items[i].id))
                add_finding(where, items[i].name, "ids must be unique and ascending");
        }
    }

    void check_value(std::string const& where, setting key, std::int64_t value)
    {
        fleet_setting_spec const& k = fleet_setting_specs[static_cast<std::size_t>(key)];
        if (value < k.minimum || value > k.maximum)
            add_finding(where, std::string(k.name),
                        std::to_string(value) + " is not from " + std::to_string(k.minimum) +
                            " to " + std::to_string(k.maximum));
    }

    void check_upstreams()
    {
        std::set<endpoint> addresses_in_use;
        std::set<service_id> services;
        std::set<zone_id> zones;
        for (service_config const& s : config_.services)
            services.insert(s.id);
        for (zone_config const& z : config_.zones)
            zones.insert(z.id);
        for (upstream_config const& u : config_.upstreams)
        {
            if (!services.contains(u.service))
                add_finding("upstreams", u.name, "refers to an unknown service");
            if (!zones.contains(u.zone))
                add_finding("upstreams", u.name, "refers to an unknown zone");
            if (!u.address.is_set() || u.address.address == 0)
                add_finding("upstreams", u.name, "address is missing");
            if (u.slots < 1 || u.slots > max_slots)
                add_finding("upstreams", u.name, "slots must be from 1 to 10000");
            if (u.connections < 1 || u.connections > max_connections)
                add_finding("upstreams", u.name, "connections must be from 1 to 1000000");
            if (u.state < upstream_state::retired && !addresses_in_use.insert(u.address).second)
                add_finding("upstreams", u.name,
                            "address " + to_string(u.address) + " is used by two upstreams");
        }
        check_count("upstreams", addresses_in_use.size(), max_active_upstreams);
        check_retired_addresses();
    }

    // A retired upstream keeps its address for its flows, so no other service may use the address.
    void check_retired_addresses()
    {
        std::map<endpoint, service_id> service_by_address;
        for (upstream_config const& u : config_.upstreams)
            if (u.state < upstream_state::retired)
                service_by_address.emplace(u.address, u.service);
        for (upstream_config const& u : config_.upstreams)
            if (auto const it = service_by_address.find(u.address);
                u.state == upstream_state::retired && it != service_by_address.end() &&
                it->second != u.service)
                add_finding("upstreams", u.name, "its address is assigned to another service");
    }

    void check_exceptions()
    {
        std::set<std::pair<std::string, setting>> seen;
        for (exception_entry const& e : config_.exceptions)
        {
            check_value("exceptions " + e.scope, e.key, e.value);
            if (!scope_exists(e.scope))
                add_finding(
                    "exceptions", e.scope,
                    "must be service/NAME, upstream/NAME or zone/NAME of an existing object");
            if (count_visible_characters(e.reason) < min_reason_characters)
                add_finding("exceptions", e.scope, "reason must have at least 8 characters");
            if (e.reason.size() > max_reason_characters)
                add_finding("exceptions", e.scope, "reason longer than 1024 characters");
            if (count_visible_characters(e.author) == 0)
                add_finding("exceptions", e.scope, "author is missing");
            if (e.time_ms <= 0)
                add_finding("exceptions", e.scope, "time is missing");
            if (!seen.emplace(e.scope, e.key).second)
                add_finding("exceptions", e.scope, "duplicate exception for one setting");
        }
    }

    bool scope_exists(std::string const& scope) const
    {
        auto const slash = scope.find('/');
        if (slash == std::string::npos)
            return false;
        std::string const kind = scope.substr(0, slash);
        std::string const name = scope.substr(slash + 1);
        if (kind == "service")
            return find_name(config_.services, name) != nullptr;
        if (kind == "zone")
            return find_name(config_.zones, name) != nullptr;
        if (kind != "upstream")
            return false;
        return find_name(config_.upstreams, name) != nullptr;
    }

    fleet_config const& config_;
    findings findings_;
};

} // namespace

checked<fleet_config> apply(fleet_config const& config, config_change const& change,
                            revision in_force_everywhere)
{
    return change_applier(config, change, in_force_everywhere).run();
}

findings validate(fleet_config const& config)
{
    return document_validator(config).run();
}

} // namespace chivelever
