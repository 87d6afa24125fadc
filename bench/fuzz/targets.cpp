#include "bench/fuzz/targets.hpp"

#include "transport/transport.hpp"

#include <algorithm>
#include <memory>
#include <stdexcept>

namespace fuzz
{

using namespace chivelever;

void require(bool holds, char const* what)
{
    if (!holds)
        throw std::logic_error(what);
}

namespace
{

std::string const secret = "0123456789abcdef";
std::string const id_text = "0123456789abcdef0123456789abcdef";

flow_id sample_flow()
{
    flow_id id;
    id.kind = flow_kind::request;
    id.zone = {2};
    id.key_epoch = 7;
    id.service = {11};
    id.issuer = {{4}, {99}};
    id.config = {123};
    id.expires_ms = 30'000;
    id.serial = 5;
    return id;
}

// An accepted packet must be unchanged after encoding and decoding.
bool run_packet(std::string const& input)
{
    static packet_codec codec;
    static packet_codec second;
    auto const p = codec.decode(input);
    if (!p)
        return false;
    std::string const bytes(second.encode(*p));
    if (bytes.empty())
        return true; // the canonical form exceeds the maximum packet size
    auto const again = second.decode(bytes);
    require(again.has_value() && again->request == p->request && again->payload == p->payload,
            "packet changes in an encode/decode round trip");
    return true;
}

bool run_peer(std::string const& input)
{
    static peer_codec const codec(secret);
    return codec.decode(input).has_value();
}

// Tests the decoder behind the signature check: builds a lease request from the input, signs it and
// decodes it.
bool run_peer_signed(std::string const& input)
{
    static peer_codec const codec(secret);
    std::size_t at = 0;
    auto const next = [&]() -> std::uint32_t
    {
        std::uint32_t v = 0;
        for (int i = 0; i < 4; ++i)
            v = v << 8 | (at < input.size() ? static_cast<unsigned char>(input[at++]) : 0U);
        return v;
    };
    lease_request q;
    q.holder = {{static_cast<std::uint16_t>(next())}, {next()}};
    q.round = next();
    for (std::uint32_t n = next() % 64; n > 0; --n)
        q.items.push_back(
            {pool_id{{next()}, {static_cast<std::uint8_t>(next())}}, next(), (next() & 1) != 0});
    host_id const from{q.holder.host};
    std::string const bytes = codec.encode(from, q);
    auto const got = codec.decode(bytes);
    if (!got)
        return false;
    require(got->message == peer_message{q}, "peer message changes in an encode/decode round trip");
    return true;
}

bool run_flow_id(std::string const& input)
{
    static flow_signer const signer(secret, 7);
    auto const id = signer.verify(input);
    // verify() accepts only ids signed under an accepted key epoch; signing the result again must
    // reproduce the input.
    if (id)
        require(as_view(flow_signer(secret, id->key_epoch).sign(*id)) == input,
                "flow id changes in a sign/verify round trip");
    return id.has_value();
}

std::string const sample_settings = R"([host]
id = 1
name = akl-1
zone = 1
zone_name = akl
packet_listen = 127.0.0.1:7000
peer_listen = 127.0.0.1:7001
grpc_listen = 127.0.0.1:7001
admin_listen = 127.0.0.1:7002
[cluster]
secret = 0123456789abcdef
deployment = test
[platform]
store = 127.0.0.1:8500
[operators]
token_file = token
[log]
severity = info
[peers]
akl-2 = 2 1 127.0.0.2:7000 127.0.0.2:7001 127.0.0.2:7002
)";

bool run_settings(std::string const& input)
{
    findings found;
    auto const s = value_or_findings(
        [&]
        {
            return parse_settings(input, "fuzz.ini",
                                  [](std::string const&)
                                  { return std::optional<std::string>("token"); });
        },
        found);
    require(s.has_value() == found.empty(),
            "settings are rejected without a finding, or accepted with one");
    if (s)
        print_settings(*s);
    for (finding const& f : found)
        to_string(f);
    return s.has_value();
}

config_change sample_change()
{
    upstream_config u;
    u.id = {1};
    u.name = "u1";
    u.service = {1};
    u.zone = {1};
    u.address = {0x7f000101, 9000};
    u.slots = 3;
    u.connections = 2000;
    return {{1},
            id_text,
            "ana",
            "reason",
            1'700'000'000'000,
            {put_zone{{{1}, "akl"}}, put_zone{{{2}, "wlg"}}, put_service{{{1}, "desk"}},
             put_upstream{u}, set_default{"weight", 50},
             add_exception{"upstream/u1", "weight", 5, "old disk in host"},
             set_zone_state{"akl", zone_state::out}, rotate_key{}}};
}

template<class F>
bool run_json(F&& decode)
{
    findings found;
    auto const value = value_or_findings(decode, found);
    require(value.has_value() == found.empty(),
            "JSON is rejected without a finding, or accepted with one");
    if (!value)
        return false;
    require(!encode(*value).empty(), "an accepted value is encoded as empty JSON");
    return true;
}

bool run_host_list(std::string const& input)
{
    findings skipped;
    return run_json([&] { return decode_host_list(input, skipped); });
}

bool run_config(std::string const& input)
{
    findings found;
    auto const config = value_or_findings([&] { return decode_config(input); }, found);
    if (!config)
        return false;
    findings none;
    auto const again = value_or_findings([&] { return decode_config(encode(*config)); }, none);
    require(again == config, "configuration changes in an encode/decode round trip");
    validate(*config);
    return true;
}

// Applying an accepted change must yield a valid configuration or findings.
bool run_change(std::string const& input)
{
    findings found;
    auto const change = value_or_findings([&] { return decode_change(input); }, found);
    if (!change)
        return false;
    findings none;
    auto const again = value_or_findings([&] { return decode_change(encode(*change)); }, none);
    require(again == change, "change is altered in an encode/decode round trip");
    auto const next = value_or_findings([&] { return apply(empty_config(), *change); }, found);
    require(!next || validate(*next).empty(), "applying a change yields an invalid configuration");
    return next.has_value();
}

struct api_fixture
{
    config_log log;
    event_ring events{64};
    std::unique_ptr<api_handler> handler;

    api_fixture()
    {
        api_backend b;
        b.status = [] { return boost::json::object{}; };
        b.config = [this] { return log.current(); };
        b.changes = [this](revision since) { return log.changes_since(since); };
        b.timeline = [this](hybrid_time since, std::string const& subject)
        { return events.select(since, subject); };
        b.why = [](std::string const& subject) {
            return boost::json::object{{"subject", subject}};
        };
        b.submit = [](proposed_change const& p) {
            return submit_result{submit_status::refused, p.change.rev, "", {}, {}};
        };
        b.change_status = [](std::string const&) { return submit_result{}; };
        b.progress = [] { return std::vector<host_progress>{}; };
        b.in_force_everywhere = [] { return revision{}; };
        b.set_log_level = [](std::string const& level) { return level == "info"; };
        handler = std::make_unique<api_handler>(std::move(b), "token");
    }
};

// Input: "METHOD TARGET TOKEN\nBODY".
bool run_api(std::string const& input)
{
    static api_fixture const fixture;
    std::string_view rest = input;
    auto const next = [&rest](char end)
    {
        std::string_view const w = rest.substr(0, rest.find(end));
        rest.remove_prefix(std::min(rest.size(), w.size() + 1));
        return std::string(w);
    };
    api_request r;
    r.method = next(' ');
    std::string const target = next(' ');
    r.token = next('\n');
    r.body = rest;
    r.path = target.substr(0, target.find('?'));
    if (auto const mark = target.find('?'); mark != std::string::npos)
        r.query = parse_query(std::string_view(target).substr(mark + 1));
    api_response const answer = fixture.handler->handle(r);
    require(answer.status >= 200 && answer.status < 500,
            "API response status is outside 200 to 499");
    return answer.status == 200;
}

std::vector<std::string> packet_samples()
{
    packet_codec codec;
    std::vector<std::string> samples;
    std::string const flow(as_view(flow_signer(secret, 7).sign(sample_flow())));
    for (auto const kind : {packet_kind::open, packet_kind::data, packet_kind::request,
                            packet_kind::answer, packet_kind::given_up})
    {
        packet_view p;
        p.kind = kind;
        p.flow = flow_kind::request;
        p.service = {3};
        p.request = {77};
        p.deadline_ms = 500;
        p.caller = {0x7f000001, 1234};
        p.flow_id = flow;
        p.payload = "body";
        samples.emplace_back(codec.encode(p));
    }
    return samples;
}

std::vector<std::string> api_samples()
{
    std::string const proposal = encode(proposed_change{sample_change(), revision{0}});
    return {"GET /api/v1/changes?since=0 \n",
            "GET /api/v1/timeline?since=1&subject=a%2Fb \n",
            "GET /api/v1/why?subject=pool/desk \n",
            "POST /api/v1/check token\n" + proposal,
            "POST /api/v1/changes token\n" + proposal,
            "POST /api/v1/log-level token\n{\"severity\":\"info\"}"};
}

fleet_config sample_config()
{
    findings none;
    return *value_or_findings([] { return apply(empty_config(), sample_change()); }, none);
}

} // namespace

std::vector<target> all_targets()
{
    peer_codec const peer(secret);
    heartbeat const sample_heartbeat{{{{3}, {9}}, 17, host_state::leaving}, {1}, {44}, 5, 6,
                                     {{{{1}, {2}}, 3, host_state::live}}};
    pool_handover const sample_handover{{{1}, {2}}, {{3}, {9}}, {{{5}, 2, 300, 3, 7}}};
    host_list const sample_hosts{
        9,
        {{listed_kind::entry, 3, {1}, host_state::live, {1, 2}, {3, 4}, {5, 6}},
         {listed_kind::upstream, 9, {2}, host_state::leaving, {}, {}, {}}}};
    event const e{5 << 16, {4}, "lease.granted", "pool/desk@akl", "x"};
    std::vector<target> targets{
        {"packet", packet_samples(), run_packet},
        {"peer", {peer.encode({3}, sample_heartbeat), peer.encode({3}, sample_handover)}, run_peer},
        {"peer-signed", {std::string(64, 'x')}, run_peer_signed},
        {"flow-id",
         {std::string(as_view(flow_signer(secret, 7).sign(sample_flow())))},
         run_flow_id},
        {"settings", {sample_settings}, run_settings},
        {"config-json", {encode(sample_config())}, run_config},
        {"change-json", {encode(sample_change())}, run_change},
        {"host-list-json", {encode(sample_hosts)}, run_host_list},
        {"event-json",
         {encode(e)},
         [](std::string const& s) { return run_json([&] { return decode_event(s); }); }},
        {"api", api_samples(), run_api},
    };
    for (target& t : edge_targets())
        targets.push_back(std::move(t));
    return targets;
}

} // namespace fuzz
