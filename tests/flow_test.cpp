// Tests of whole flows: bounds of the flow experiment at fixed seeds, and random packets while
// hosts have different table revisions.
#include "bench/flow_experiment.hpp"

#include <catch2/catch.hpp>
#include <map>

using namespace chivelever;
using namespace chivelever::experiment;

namespace
{
constexpr std::size_t flows_per_upstream = 150; // keeps each run below a second
}

// Guards against planned changes that break flows.
TEST_CASE("issued flow ids survive every planned change")
{
    for (auto const event :
         {fleet_event::join, fleet_event::restart, fleet_event::leave, fleet_event::drain,
          fleet_event::add, fleet_event::weight, fleet_event::six_changes})
    {
        outcome const o = run<issued_ids>(event, flows_per_upstream, 1);
        INFO(event_names[static_cast<std::size_t>(event)]);
        CHECK(o.broken + o.broken_before == 0);
        CHECK(o.disrupted == 0);
    }
}

// Guards against flow state that is lost with a host, here the pool's holder.
TEST_CASE("the crash of one of nine balancers affects less than 1% of the flows")
{
    for (std::uint64_t const seed : {1, 2})
    {
        outcome const o = run<issued_ids>(fleet_event::crash, flows_per_upstream, seed);
        CHECK(o.broken == 0);
        CHECK(o.disrupted * 100 < o.flows);
        CHECK(o.lost_packets > 0);
        CHECK(o.imbalance_after <= 1.10);
    }
}

TEST_CASE("flows are spread evenly at 1,000 flows per upstream")
{
    CHECK(simulation<issued_ids>(fleet_event::none, 1000, 1).initial_imbalance() <= 1.10);
}

// Guards against an experiment that cannot distinguish the designs.
TEST_CASE("the rejected designs break flows under the same seeds")
{
    outcome const drained = run<rendezvous_alone>(fleet_event::drain, flows_per_upstream, 1);
    CHECK(drained.broken * 100 > 5 * drained.flows);
    CHECK(run<maglev_alone>(fleet_event::add, flows_per_upstream, 1).broken > 0);
    CHECK(run<hashing_with_exceptions>(fleet_event::six_changes, flows_per_upstream, 1).broken > 0);
}

namespace
{

constexpr std::size_t host_count = 2;
constexpr std::uint64_t max_lag_revisions = 3;
constexpr std::uint32_t address_count = 12;
constexpr std::uint32_t service_count = 3;
constexpr endpoint caller{0x7f000a01, 40000};

// A history of configurations in which addresses are reused, and two hosts that install it at
// different times.
class lagging_tables
{
public:
    explicit lagging_tables(std::uint64_t seed) : random_(seed)
    {
        config_ = empty_config();
        config_.key_epoch = 1;
        for (std::uint8_t z = 1; z <= 2; ++z)
            config_.zones.push_back({{z}, "z" + std::to_string(z)});
        for (std::uint32_t s = 1; s <= service_count; ++s)
            config_.services.push_back({{s}, "s" + std::to_string(s)});
        publish();
    }

    void step()
    {
        change();
        publish();
        std::uint64_t const newest = tables_.size() - 1;
        for (std::uint64_t& at : installed_)
            at = std::max(at, newest - std::min(newest, random_() % (max_lag_revisions + 1)));
        for (int i = 0; i < 4; ++i)
            open();
        for (int i = 0; i < 40 && !flows_.empty(); ++i)
            send_packet(flows_[random_() % flows_.size()]);
    }

    std::size_t forwarded{};
    std::size_t given_up{};
    std::size_t reused{}; // addresses reassigned to another service
    std::size_t rotations{};
    std::size_t forged{};

private:
    struct open_flow
    {
        encoded_flow_id id;
        service_id service;
        zone_id zone;
        std::uint32_t epoch;
        std::uint64_t rev; // of the issuer's table
    };

    void publish()
    {
        config_.rev = {tables_.size()};
        tables_.push_back(std::make_unique<routing_table>(config_, host_list{}, "secret"));
    }
    std::uint64_t oldest_installed() const
    {
        return *std::min_element(installed_.begin(), installed_.end());
    }

    void change()
    {
        auto& all = config_.upstreams;
        std::size_t const i = all.empty() ? 0 : random_() % all.size();
        switch (random_() % 8)
        {
        case 0:
        case 1:
        case 2:
            return add_upstream();
        case 3:
            if (!all.empty() && all[i].state == upstream_state::active)
                all[i].state = upstream_state::draining;
            return;
        case 4:
            if (!all.empty())
                all[i].state = upstream_state::retired;
            return;
        case 5: // a removal is complete only when no entry names the address
            if (!all.empty() && all[i].state == upstream_state::retired)
            {
                free_since_[all[i].address.port] = tables_.size();
                all.erase(all.begin() + static_cast<std::ptrdiff_t>(i));
            }
            return;
        case 6:
        {
            auto& state = config_.zones[random_() % 2].state;
            state = state == zone_state::in ? zone_state::out : zone_state::in;
            return;
        }
        default:
            if (tables_.size() > last_rotation_ + max_lag_revisions)
            {
                ++config_.key_epoch;
                ++rotations;
                last_rotation_ = tables_.size();
            }
        }
    }
    // Assigns an address to a new upstream of any service once its removal is in force on all
    // hosts.
    void add_upstream()
    {
        auto const port = static_cast<std::uint16_t>(9000 + random_() % address_count);
        for (upstream_config const& u : config_.upstreams)
            if (u.address.port == port)
                return;
        auto const free = free_since_.find(port);
        if (free != free_since_.end() && free->second > oldest_installed())
            return;
        service_id const service{1 + static_cast<std::uint32_t>(random_() % service_count)};
        auto const [previous, inserted] = served_by_.try_emplace(port, service);
        reused += !inserted && previous->second != service;
        previous->second = service;
        config_.upstreams.push_back({{next_id_},
                                     "u" + std::to_string(next_id_),
                                     service,
                                     {static_cast<std::uint8_t>(1 + random_() % 2)},
                                     {0x7f000201, port},
                                     {next_id_},
                                     3,
                                     2000});
        ++next_id_;
    }

    cluster_view view(std::size_t host) const
    {
        std::vector<cluster_entry> hosts;
        for (std::uint16_t h = 0; h < host_count; ++h)
            hosts.push_back({{{h}, {1}}, {1}, host_state::live, true, {0x7f000100U + h, 7000}});
        return {hosts[host].instance, {1}, hosts};
    }
    void open()
    {
        std::size_t const host = random_() % host_count;
        routing_table const& table = *tables_[installed_[host]];
        auto const& upstreams = table.config().upstreams;
        if (upstreams.empty())
            return;
        auto const& u = upstreams[random_() % upstreams.size()];
        if (!table.takes_new_work(u))
            return;
        flow_issuer issuer({{static_cast<std::uint16_t>(host)}, {1}});
        flows_.push_back({issuer.stream(flow_kind::stream, u, table), u.service, u.zone,
                          table.signer().epoch(), installed_[host]});
    }
    void send_packet(open_flow const& f)
    {
        std::size_t const host = random_() % host_count;
        routing_table const& table = *tables_[installed_[host]];
        encoded_flow_id id = f.id;
        bool const forge = random_() % 8 == 0;
        if (forge)
            id[random_() % id.size()] ^= static_cast<char>(1 << random_() % 8);
        packet_view p;
        p.kind = random_() % 4 == 0 ? packet_kind::close : packet_kind::data;
        // After one hop a close is processed locally instead of being forwarded to the holder.
        p.hops = p.kind == packet_kind::close;
        p.caller = caller;
        p.flow_id = as_view(id);
        route const r = router{}.decide(p, caller, table, view(host), {}, 0, {});
        if (forge)
        {
            CHECK(r.reason == drop_reason::forged);
            ++forged;
            return;
        }
        // The keys of the two previous epochs are still accepted.
        if (f.epoch + 2 >= table.signer().epoch())
            CHECK(r.reason != drop_reason::forged);
        given_up += r.action == route_action::reply;
        if (r.action != route_action::to_upstream && r.action != route_action::local_close)
            return;
        ++forwarded;
        CHECK(served_by_.at(r.to.port) == f.service);
        // An id newer than the table means that the zone has returned since.
        CHECK_FALSE(tables_[std::max(installed_[host], f.rev)]->zone_is_out(f.zone));
    }

    std::mt19937_64 random_;
    fleet_config config_;
    std::vector<std::unique_ptr<routing_table>> tables_; // index: revision
    std::array<std::uint64_t, host_count> installed_{};
    std::vector<open_flow> flows_;
    std::map<std::uint16_t, service_id> served_by_; // current service of each address
    // First revision in which no entry names the address.
    std::map<std::uint16_t, std::uint64_t> free_since_;
    std::uint32_t next_id_{1};
    std::uint64_t last_rotation_{};
};

} // namespace

// Guards against packets that reach another service while an address is reassigned, ids lost in a
// key rotation, and forged ids.
TEST_CASE("no packet reaches another service while hosts have different tables")
{
    auto const before = invariants::violations();
    for (std::uint64_t seed = 1; seed <= 8; ++seed)
    {
        INFO("seed " << seed);
        lagging_tables run(seed);
        for (int i = 0; i < 300; ++i)
            run.step();
        CHECK(run.forwarded > 500);
        CHECK(run.given_up > 100);
        CHECK(run.reused > 3);
        CHECK(run.rotations > 3);
        CHECK(run.forged > 100);
    }
    CHECK(invariants::violations() == before);
}
