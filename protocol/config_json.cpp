#include "protocol/config_json.hpp"

#include "protocol/json_reader.hpp"

#include <array>
#include <boost/json/serialize.hpp>

namespace chivelever
{

namespace json = boost::json;

namespace
{

// Limits on list lengths, because max_document_bytes alone would still allow far too many items.
constexpr std::size_t max_items = 16384;
constexpr std::size_t max_operations = 1024;
// Most JSON implementations read integers as signed 64-bit.
constexpr std::uint64_t max_json_integer = std::numeric_limits<std::int64_t>::max();

constexpr std::array<std::string_view, 4> upstream_states{"active", "draining", "retired",
                                                          "released"};
constexpr std::array<std::string_view, 3> zone_states{"in", "out", "returning"};
constexpr std::array<std::string_view, 2> listed_kinds{"entry", "upstream"};
constexpr std::array<std::string_view, 2> host_states{"live", "leaving"};
constexpr std::array<std::string_view, 9> operation_names{
    "set_default",    "put_zone",      "put_service",      "put_upstream", "set_upstream_state",
    "set_zone_state", "add_exception", "remove_exception", "rotate_key"};
static_assert(operation_names.size() == std::variant_size_v<operation>);

template<class T, class F>
json::array to_array(std::vector<T> const& items, F&& f)
{
    json::array a;
    a.reserve(items.size());
    for (T const& item : items)
        a.push_back(f(item));
    return a;
}

json::object write(zone_config const& z)
{
    return {{"id", z.id.value},
            {"name", z.name},
            {"state", name_of(z.state)},
            {"changed_at", z.changed_at.value}};
}

json::object write(service_config const& s)
{
    return {{"id", s.id.value}, {"name", s.name}};
}

json::object write(upstream_config const& u)
{
    return {{"id", u.id.value},
            {"name", u.name},
            {"service", u.service.value},
            {"zone", u.zone.value},
            {"address", to_string(u.address)},
            {"owner", u.owner.value},
            {"slots", u.slots},
            {"connections", u.connections},
            {"state", name_of(u.state)},
            {"retired_at", u.retired_at.value}};
}

json::object write(exception_entry const& e)
{
    return {
        {"scope", e.scope},   {"key", fleet_setting_specs[static_cast<std::size_t>(e.key)].name},
        {"value", e.value},   {"reason", e.reason},
        {"author", e.author}, {"time_ms", e.time_ms}};
}

// Writes the members of an operation except "op", which the caller sets.
struct operation_writer
{
    json::object& o;
    void operator()(set_default const& d) const
    {
        o["key"] = d.key;
        o["value"] = d.value;
    }
    void operator()(put_zone const& p) const { o["zone"] = write(p.zone); }
    void operator()(put_service const& p) const { o["service"] = write(p.service); }
    void operator()(put_upstream const& p) const { o["upstream"] = write(p.upstream); }
    void operator()(set_upstream_state const& s) const
    {
        o["name"] = s.name;
        o["state"] = name_of(s.state);
    }
    void operator()(set_zone_state const& s) const
    {
        o["name"] = s.name;
        o["state"] = name_of(s.state);
    }
    void operator()(add_exception const& e) const
    {
        o["scope"] = e.scope;
        o["key"] = e.key;
        o["value"] = e.value;
        o["reason"] = e.reason;
    }
    void operator()(remove_exception const& e) const
    {
        o["scope"] = e.scope;
        o["key"] = e.key;
    }
    void operator()(rotate_key const&) const {}
};

zone_config read_zone(json::value const& v, std::string const& location, findings& found)
{
    json_reader r(v, location, found);
    zone_config z;
    z.id = {r.integer<std::uint8_t>("id")};
    z.name = r.text("name");
    z.state = static_cast<zone_state>(r.enum_index("state", zone_states));
    z.changed_at = {r.integer<std::uint64_t>("changed_at", max_json_integer)};
    r.report_unknown_keys();
    return z;
}

service_config read_service(json::value const& v, std::string const& location, findings& found)
{
    json_reader r(v, location, found);
    service_config s{{r.integer<std::uint32_t>("id")}, r.text("name")};
    r.report_unknown_keys();
    return s;
}

upstream_config read_upstream(json::value const& v, std::string const& location, findings& found)
{
    json_reader r(v, location, found);
    upstream_config u;
    u.id = {r.integer<std::uint32_t>("id")};
    u.name = r.text("name");
    u.service = {r.integer<std::uint32_t>("service")};
    u.zone = {r.integer<std::uint8_t>("zone")};
    u.address = r.address("address");
    u.owner = {r.integer<std::uint32_t>("owner")};
    u.slots = r.integer<std::uint16_t>("slots");
    u.connections = r.integer<std::uint32_t>("connections");
    u.state = static_cast<upstream_state>(r.enum_index("state", upstream_states));
    u.retired_at = {r.integer<std::uint64_t>("retired_at", max_json_integer)};
    r.report_unknown_keys();
    return u;
}

exception_entry read_exception(json::value const& v, std::string const& location, findings& found)
{
    json_reader r(v, location, found);
    exception_entry e;
    e.scope = r.text("scope");
    std::string const key = r.text("key");
    if (auto const k = find_setting(key))
        e.key = *k;
    else
        r.add_finding("key", "no setting has this name");
    e.value = r.signed_integer("value");
    e.reason = r.text("reason", 2048);
    e.author = r.text("author");
    e.time_ms = r.signed_integer("time_ms");
    r.report_unknown_keys();
    return e;
}

// Reads the nested object of a put_ operation. If it is absent, each of its keys is reported
// missing.
template<class F>
auto read_nested(json_reader& r, std::string_view key, std::string const& location, findings& found,
                 F&& f)
{
    static json::value const empty = json::object();
    auto const* v = r.member(key);
    return f(v == nullptr ? empty : *v, location, found);
}

// Reads the members of an operation except "op". `kind` is the index in operation_names.
operation read_operation_members(std::size_t kind, json_reader& r, std::string const& location,
                                 findings& found)
{
    switch (kind)
    {
    case 0:
        return set_default{r.text("key"), r.signed_integer("value")};
    case 1:
        return put_zone{read_nested(r, "zone", location, found, read_zone)};
    case 2:
        return put_service{read_nested(r, "service", location, found, read_service)};
    case 3:
        return put_upstream{read_nested(r, "upstream", location, found, read_upstream)};
    case 4:
        return set_upstream_state{
            r.text("name"), static_cast<upstream_state>(r.enum_index("state", upstream_states))};
    case 5:
        return set_zone_state{r.text("name"),
                              static_cast<zone_state>(r.enum_index("state", zone_states))};
    case 6:
        return add_exception{r.text("scope"), r.text("key"), r.signed_integer("value"),
                             r.text("reason", 2048)};
    case 7:
        return remove_exception{r.text("scope"), r.text("key")};
    default:
        return rotate_key{};
    }
}

operation read_operation(json::value const& v, std::string const& location, findings& found)
{
    json_reader r(v, location, found);
    auto const before = found.size();
    std::size_t const kind = r.enum_index("op", operation_names);
    if (found.size() != before)
        return rotate_key{}; // placeholder; the finding rejects the whole change
    operation op = read_operation_members(kind, r, location, found);
    r.report_unknown_keys();
    return op;
}

template<class F>
auto read_list(json_reader& r, std::string_view key, std::string const& item, std::size_t limit,
               findings& found, F&& f)
{
    std::vector<decltype(f(std::declval<json::value const&>(), item, found))> out;
    std::size_t n = 0;
    for (json::value const& v : r.array(key, limit))
        out.push_back(f(v, item + " " + std::to_string(++n), found));
    return out;
}

// Reads the members that changes and proposals have in common.
void read_change_body(json_reader& r, config_change& c, findings& found)
{
    c.change_id = r.text("change_id", 64);
    c.author = r.text("author");
    c.reason = r.text("reason", 2048);
    c.time_ms = r.signed_integer("time_ms");
    c.operations = read_list(r, "operations", "operation", max_operations, found, read_operation);
}

json::object write_change_body(config_change const& c)
{
    return {
        {"change_id", c.change_id},
        {"author", c.author},
        {"reason", c.reason},
        {"time_ms", c.time_ms},
        {"operations", to_array(c.operations, [](operation const& op) { return to_json(op); })}};
}

listed_host read_listed(json::value const& v, std::string const& location, findings& found)
{
    json_reader r(v, location, found);
    listed_host h;
    h.kind = static_cast<listed_kind>(r.enum_index("kind", listed_kinds));
    h.id = r.integer<std::uint32_t>("id", h.kind == listed_kind::entry ? 0xffff : 0xffffffff);
    h.zone = {r.integer<std::uint8_t>("zone")};
    h.state = static_cast<host_state>(r.enum_index("state", host_states));
    bool const optional = h.kind == listed_kind::upstream;
    h.packet = r.address("packet", optional);
    h.peer = r.address("peer", optional);
    h.grpc = r.address("grpc", optional);
    r.report_unknown_keys();
    return h;
}

// Skips invalid entries and adds findings for them.
std::vector<listed_host> read_valid_hosts(json_reader& r, findings& skipped)
{
    std::vector<listed_host> hosts;
    std::size_t n = 0;
    for (json::value const& v : r.array("hosts", max_items))
    {
        std::string const location = "host " + std::to_string(++n);
        if (!v.is_object())
        {
            skipped.push_back({"", location, "", 0, "cannot be read as an object"});
            continue;
        }
        findings found;
        listed_host const host = read_listed(v, location, found);
        if (found.empty())
            hosts.push_back(host);
        skipped.insert(skipped.end(), found.begin(), found.end());
    }
    return hosts;
}

std::string to_text_or_empty(endpoint const& e)
{
    return e.is_set() ? to_string(e) : std::string();
}

// Parses a JSON object and reads it with f; any finding makes the result an error.
template<class F>
auto decode(std::string_view text, std::size_t limit, F&& f)
    -> checked<std::decay_t<decltype(f(std::declval<json_reader&>(), std::declval<findings&>()))>>
{
    findings found;
    auto const value = parse_object(text, limit, found);
    if (!value)
        return findings_error(std::move(found));
    json_reader r(*value, "", found);
    auto result = f(r, found);
    r.report_unknown_keys();
    if (!found.empty())
        return findings_error(std::move(found));
    return result;
}

} // namespace

std::string_view name_of(upstream_state state)
{
    return upstream_states[static_cast<std::size_t>(state)];
}

std::string_view name_of(zone_state state)
{
    return zone_states[static_cast<std::size_t>(state)];
}

json::object to_json(operation const& op)
{
    json::object o{{"op", operation_names[op.index()]}};
    std::visit(operation_writer{o}, op);
    return o;
}

json::object to_json(fleet_config const& config)
{
    json::object defaults;
    for (std::size_t i = 0; i < setting_count; ++i)
        defaults[fleet_setting_specs[i].name] = config.defaults[i];
    auto const each = [](auto const& item) { return write(item); };
    return {{"revision", config.rev.value},
            {"key_epoch", config.key_epoch},
            {"last_change", config.last_change},
            {"defaults", std::move(defaults)},
            {"zones", to_array(config.zones, each)},
            {"services", to_array(config.services, each)},
            {"upstreams", to_array(config.upstreams, each)},
            {"exceptions", to_array(config.exceptions, each)}};
}

json::object to_json(config_change const& change)
{
    json::object o = write_change_body(change);
    o["revision"] = change.rev.value;
    return o;
}

json::object to_json(host_list const& list)
{
    auto const each = [](listed_host const& h)
    {
        return json::object{{"kind", listed_kinds[static_cast<std::size_t>(h.kind)]},
                            {"id", h.id},
                            {"zone", h.zone.value},
                            {"state", host_states[static_cast<std::size_t>(h.state)]},
                            {"packet", to_text_or_empty(h.packet)},
                            {"peer", to_text_or_empty(h.peer)},
                            {"grpc", to_text_or_empty(h.grpc)}};
    };
    return {{"version", list.version}, {"hosts", to_array(list.hosts, each)}};
}

json::object to_json(event const& e)
{
    return {{"time", e.time},
            {"host", e.host.value},
            {"kind", e.kind},
            {"subject", e.subject},
            {"detail", e.detail}};
}

json::object to_json(finding const& f)
{
    json::object o{{"message", f.message}};
    if (!f.section.empty())
        o["section"] = f.section;
    if (!f.key.empty())
        o["key"] = f.key;
    return o;
}

std::string encode(fleet_config const& config)
{
    return json::serialize(to_json(config));
}
std::string encode(config_change const& change)
{
    return json::serialize(to_json(change));
}
std::string encode(host_list const& list)
{
    return json::serialize(to_json(list));
}
std::string encode(event const& e)
{
    return json::serialize(to_json(e));
}

std::string encode(proposed_change const& proposal)
{
    json::object o = write_change_body(proposal.change);
    if (proposal.base)
        o["base"] = proposal.base->value;
    return json::serialize(o);
}

checked<fleet_config> decode_config(std::string_view text)
{
    return decode(text, max_document_bytes,
                  [](json_reader& r, findings& found)
                  {
                      fleet_config c;
                      c.rev = {r.integer<std::uint64_t>("revision", max_json_integer)};
                      c.key_epoch = r.integer<std::uint32_t>("key_epoch");
                      c.last_change = r.text("last_change", 64);
                      static json::value const empty = json::object();
                      auto const* defaults = r.member("defaults");
                      json_reader d(defaults == nullptr ? empty : *defaults, "defaults", found);
                      for (std::size_t i = 0; i < setting_count; ++i)
                          c.defaults[i] = d.signed_integer(fleet_setting_specs[i].name);
                      d.report_unknown_keys();
                      c.zones = read_list(r, "zones", "zone", max_items, found, read_zone);
                      c.services =
                          read_list(r, "services", "service", max_items, found, read_service);
                      c.upstreams =
                          read_list(r, "upstreams", "upstream", max_items, found, read_upstream);
                      c.exceptions =
                          read_list(r, "exceptions", "exception", max_items, found, read_exception);
                      return c;
                  });
}

checked<config_change> decode_change(std::string_view text)
{
    return decode(text, max_change_bytes,
                  [](json_reader& r, findings& found)
                  {
                      config_change c;
                      c.rev = {r.integer<std::uint64_t>("revision", max_json_integer)};
                      read_change_body(r, c, found);
                      return c;
                  });
}

checked<proposed_change> decode_proposal(std::string_view text)
{
    return decode(text, max_change_bytes,
                  [](json_reader& r, findings& found)
                  {
                      proposed_change p;
                      read_change_body(r, p.change, found);
                      if (r.has("base"))
                          p.base = revision{r.integer<std::uint64_t>("base", max_json_integer)};
                      return p;
                  });
}

checked<host_list> decode_host_list(std::string_view text, findings& skipped)
{
    return decode(replace_invalid_elements(text), max_document_bytes,
                  [&](json_reader& r, findings&)
                  {
                      host_list l;
                      l.version = r.integer<std::uint64_t>("version", max_json_integer);
                      l.hosts = read_valid_hosts(r, skipped);
                      return l;
                  });
}

checked<event> decode_event(std::string_view text)
{
    return decode(text, max_event_bytes,
                  [](json_reader& r, findings&)
                  {
                      event e;
                      e.time = r.integer<std::uint64_t>("time");
                      e.host = {r.integer<std::uint16_t>("host")};
                      e.kind = r.text("kind");
                      e.subject = r.text("subject");
                      e.detail = r.text("detail", max_event_bytes);
                      return e;
                  });
}

} // namespace chivelever
