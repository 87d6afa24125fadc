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
constexpr std::size_t max_live_upstreams = 5000;
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

std::size_t written_characters(std::string const& s)
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
    change_applier(fleet_config const& config, config_change const& change, revision in_force)
        : next_(config), change_(change), in_force_(in_force)
    {
    }

    checked<fleet_config> run()
    {
        check_head();
        for (operation const& op : change_.operations)
        {
            ++number_;
            std::visit([this](auto const& o) { take(o); }, op);
        }
        next_.rev = change_.rev;
        next_.last_change = change_.change_id;
        drop_oldest_retired();
        findings whole = validate(next_);
        found_.insert(found_.end(), whole.begin(), whole.end());
        if (!found_.empty())
            return refuse(std::move(found_));
        return std::move(next_);
    }

private:
    void problem(std::string key, std::string message)
    {
        std::string where = number_ == 0 ? "change" : "operation " + std::to_string(number_);
        found_.push_back({"", std::move(where), std::move(key), 0, std::move(message)});
    }

    void check_head()
    {
        if (change_.rev.value != next_.rev.value + 1)
            problem("revision", "revision " + std::to_string(change_.rev.value) +
                                    " does not follow " + std::to_string(next_.rev.value));
        bool const hex =
            std::all_of(change_.change_id.begin(), change_.change_id.end(),
                        [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
        if (change_.change_id.size() != change_id_characters || !hex)
            problem("change_id", "needs 32 hexadecimal digits in lower case");
        if (written_characters(change_.author) == 0 ||
            change_.author.size() > max_author_characters)
            problem("author", "needs 1 to 128 characters");
        if (change_.reason.size() > max_reason_characters)
            problem("reason", "longer than 1024 characters");
        if (change_.time_ms <= 0)
            problem("time_ms", "needs the time of the change");
        if (change_.operations.empty() || change_.operations.size() > max_operations)
            problem("operations", "needs 1 to 1024 operations");
    }

    void take(set_default const& o)
    {
        auto const key = find_setting(o.key);
        if (!key)
            return problem(o.key, "no setting has this name");
        next_.defaults[static_cast<std::size_t>(*key)] = o.value;
    }

    // A zone's state changes only by set_zone_state, which keeps the rule about the last zone.
    void take(put_zone const& o)
    {
        if (auto* z = find_id(next_.zones, o.zone.id))
        {
            z->name = o.zone.name;
            return;
        }
        if (o.zone.state != zone_state::in)
            problem(o.zone.name, "a new zone starts in");
        zone_config z = o.zone;
        z.changed_at = change_.rev;
        insert_by_id(next_.zones, std::move(z));
    }

    void take(put_service const& o)
    {
        if (auto* s = find_id(next_.services, o.service.id))
            s->name = o.service.name;
        else
            insert_by_id(next_.services, o.service);
    }

    void take(put_upstream const& o)
    {
        upstream_config u = o.upstream;
        if (u.state != upstream_state::active)
            problem(u.name, "an upstream is added as active");
        u.state = upstream_state::active;
        u.retired_at = {};
        if (auto* old = find_id(next_.upstreams, u.id))
            return update(*old, u);
        u.owner = {1};
        free_address(u);
        insert_by_id(next_.upstreams, std::move(u));
    }

    // Flow ids name service, zone and address of an upstream; changing them would break its flows.
    void update(upstream_config& old, upstream_config u)
    {
        if (old.service != u.service || old.zone != u.zone || old.address != u.address)
            return problem(u.name, "service, zone and address of upstream " + old.name +
                                       " are fixed; add it under a new id");
        u.owner = old.owner;
        if (old.state == upstream_state::draining)
            u.state = upstream_state::draining;
        old = std::move(u);
    }

    // Gives the address to a new upstream: a new incarnation, and retired upstreams of other
    // services lose it, so that none of their flows reaches the new service.
    void free_address(upstream_config& u)
    {
        for (upstream_config const& other : next_.upstreams)
        {
            if (other.address != u.address)
                continue;
            u.owner.value = std::max(u.owner.value, other.owner.value + 1);
            if (other.service != u.service)
                check_released(u, other);
        }
        std::erase_if(next_.upstreams,
                      [&](upstream_config const& other)
                      {
                          return other.address == u.address && other.service != u.service &&
                                 other.state == upstream_state::released;
                      });
    }

    // A host that still has the upstream as retired sends the packets of its flows there, so the
    // address is free only once every host has applied the release.
    void check_released(upstream_config const& u, upstream_config const& other)
    {
        std::string const former = "address " + to_string(u.address) + " belonged to upstream " +
                                   other.name + " of another service, ";
        if (other.state == upstream_state::retired)
            problem(u.name, former + "which is retired and still gets the packets of its flows; "
                                     "release it first");
        if (other.state == upstream_state::released && other.retired_at > in_force_)
            problem(u.name, former + "whose release in revision " +
                                std::to_string(other.retired_at.value) +
                                " is not yet in force on every listed host");
    }

    void take(set_upstream_state const& o)
    {
        auto* u = find_name(next_.upstreams, o.name);
        if (u == nullptr)
            return problem(o.name, "no upstream has this name");
        if (u->state >= upstream_state::retired && o.state < upstream_state::retired)
            return problem(o.name, "is retired; put it again to use it");
        if (o.state == upstream_state::released && u->state < upstream_state::retired)
            return problem(o.name, "is in use; retire it before its address is released");
        if (u->state == upstream_state::released && o.state == upstream_state::retired)
            return problem(o.name, "is released, which cannot be taken back");
        if (u->state != o.state && o.state >= upstream_state::retired)
            u->retired_at = change_.rev;
        u->state = o.state;
    }

    void take(set_zone_state const& o)
    {
        auto* z = find_name(next_.zones, o.name);
        if (z == nullptr)
            return problem(o.name, "no zone has this name");
        if (o.state == zone_state::out)
        {
            bool const other_in =
                std::any_of(next_.zones.begin(), next_.zones.end(),
                            [&](zone_config const& other)
                            { return &other != z && other.state != zone_state::out; });
            if (!other_in)
                return problem(o.name, "is the last zone that is in");
        }
        // A zone comes back by way of the ramp; asking again changes nothing.
        zone_state const to = o.state == zone_state::out    ? zone_state::out
                              : z->state == zone_state::out ? zone_state::returning
                              : o.state == zone_state::in   ? z->state
                                                            : o.state;
        if (z->state == to)
            return;
        z->state = to;
        z->changed_at = change_.rev;
    }

    void take(add_exception const& o)
    {
        auto const key = find_setting(o.key);
        if (!key)
            return problem(o.key, "no setting has this name");
        std::erase_if(next_.exceptions, [&](exception_entry const& e)
                      { return e.scope == o.scope && e.key == *key; });
        next_.exceptions.push_back(
            {o.scope, *key, o.value, o.reason, change_.author, change_.time_ms});
    }

    void take(remove_exception const& o)
    {
        auto const key = find_setting(o.key);
        if (!key)
            return problem(o.key, "no setting has this name");
        auto const removed = std::erase_if(next_.exceptions, [&](exception_entry const& e)
                                           { return e.scope == o.scope && e.key == *key; });
        if (removed == 0)
            problem(o.scope, "has no exception for " + o.key);
    }

    void take(rotate_key const&) { ++next_.key_epoch; }

    void drop_oldest_retired()
    {
        std::vector<std::pair<revision, upstream_id>> retired;
        for (upstream_config const& u : next_.upstreams)
            if (u.state >= upstream_state::retired)
                retired.emplace_back(u.retired_at, u.id);
        if (retired.size() <= max_retired_upstreams)
            return;
        std::sort(retired.begin(), retired.end());
        retired.resize(retired.size() - max_retired_upstreams);
        std::set<upstream_id> dropped;
        for (auto const& [rev, id] : retired)
            dropped.insert(id);
        std::erase_if(next_.upstreams,
                      [&](upstream_config const& u) { return dropped.contains(u.id); });
    }

    fleet_config next_;
    config_change const& change_;
    revision in_force_;
    int number_{}; // of the operation, 0 before the first
    findings found_;
};

// Checks one document; the parts are separate so that each fits a screen.
class document_check
{
public:
    explicit document_check(fleet_config const& c) : c_(c) {}

    findings run()
    {
        bound("zones", c_.zones.size(), max_zones);
        bound("services", c_.services.size(), max_services);
        bound("exceptions", c_.exceptions.size(), max_exceptions);
        names("zones", c_.zones);
        names("services", c_.services);
        names("upstreams", c_.upstreams);
        for (std::size_t i = 0; i < setting_count; ++i)
            value_in_bounds("defaults", static_cast<setting>(i), c_.defaults[i]);
        upstreams();
        exceptions();
        return std::move(found_);
    }

private:
    void problem(std::string where, std::string key, std::string message)
    {
        found_.push_back({"", std::move(where), std::move(key), 0, std::move(message)});
    }

    void bound(std::string const& where, std::size_t count, std::size_t limit)
    {
        if (count > limit)
            problem(where, "", "more than " + std::to_string(limit));
    }

    template<class T>
    void names(std::string const& where, std::vector<T> const& items)
    {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < items.size(); ++i)
        {
            if (!is_name(items[i].name))
                problem(where, items[i].name.substr(0, 64),
                        "a name has 1 to 64 letters, digits, '.', '_' and '-'");
            if (!seen.insert(items[i].name).second)
                problem(where, items[i].name, "two have this name");
            if (items[i].id.value == 0)
                problem(where, items[i].name, "id 0 is not used");
            if (i > 0 && !(items[i - 1].id < items[i].id))
                problem(where, items[i].name, "ids are not unique and in order");
        }
    }

    void value_in_bounds(std::string const& where, setting key, std::int64_t value)
    {
        setting_key const& k = setting_keys[static_cast<std::size_t>(key)];
        if (value < k.minimum || value > k.maximum)
            problem(where, std::string(k.name),
                    std::to_string(value) + " is not from " + std::to_string(k.minimum) + " to " +
                        std::to_string(k.maximum));
    }

    void upstreams()
    {
        std::set<endpoint> live;
        std::set<service_id> services;
        std::set<zone_id> zones;
        for (service_config const& s : c_.services)
            services.insert(s.id);
        for (zone_config const& z : c_.zones)
            zones.insert(z.id);
        for (upstream_config const& u : c_.upstreams)
        {
            if (!services.contains(u.service))
                problem("upstreams", u.name, "its service does not exist");
            if (!zones.contains(u.zone))
                problem("upstreams", u.name, "its zone does not exist");
            if (!u.address.is_set() || u.address.address == 0)
                problem("upstreams", u.name, "needs an address");
            if (u.slots < 1 || u.slots > max_slots)
                problem("upstreams", u.name, "slots: 1 to 10000");
            if (u.connections < 1 || u.connections > max_connections)
                problem("upstreams", u.name, "connections: 1 to 1000000");
            if (u.state < upstream_state::retired && !live.insert(u.address).second)
                problem("upstreams", u.name, "address " + to_string(u.address) + " has two owners");
        }
        bound("upstreams", live.size(), max_live_upstreams);
        retired_addresses();
    }

    // A retired upstream keeps its address for its flows; no other service may have it as well.
    void retired_addresses()
    {
        std::map<endpoint, service_id> live;
        for (upstream_config const& u : c_.upstreams)
            if (u.state < upstream_state::retired)
                live.emplace(u.address, u.service);
        for (upstream_config const& u : c_.upstreams)
            if (auto const it = live.find(u.address);
                u.state == upstream_state::retired && it != live.end() && it->second != u.service)
                problem("upstreams", u.name, "its address is given to another service");
    }

    void exceptions()
    {
        std::set<std::pair<std::string, setting>> seen;
        for (exception_entry const& e : c_.exceptions)
        {
            value_in_bounds("exceptions " + e.scope, e.key, e.value);
            if (!scope_exists(e.scope))
                problem("exceptions", e.scope,
                        "not the service/NAME, upstream/NAME or zone/NAME of an existing one");
            if (written_characters(e.reason) < min_reason_characters)
                problem("exceptions", e.scope, "needs a reason of at least 8 characters");
            if (e.reason.size() > max_reason_characters)
                problem("exceptions", e.scope, "reason longer than 1024 characters");
            if (written_characters(e.author) == 0)
                problem("exceptions", e.scope, "needs an author");
            if (e.time_ms <= 0)
                problem("exceptions", e.scope, "needs a time");
            if (!seen.emplace(e.scope, e.key).second)
                problem("exceptions", e.scope, "two exceptions for one setting");
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
            return find_name(c_.services, name) != nullptr;
        if (kind == "zone")
            return find_name(c_.zones, name) != nullptr;
        if (kind != "upstream")
            return false;
        return find_name(c_.upstreams, name) != nullptr;
    }

    fleet_config const& c_;
    findings found_;
};

} // namespace

checked<fleet_config> apply(fleet_config const& config, config_change const& change,
                            revision in_force_everywhere)
{
    return change_applier(config, change, in_force_everywhere).run();
}

findings validate(fleet_config const& config)
{
    return document_check(config).run();
}

} // namespace chivelever
