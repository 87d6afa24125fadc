// Configuration rules, the change log and their JSON encoding.
#include "config_sample.hpp"
#include "protocol/protocol.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace chivelever;
using sample::change;
using sample::upstream;

namespace
{

fleet_config initial_config()
{
    findings f;
    auto c = value_or_findings([] { return apply(empty_config(), sample::first_change()); }, f);
    REQUIRE(f.empty());
    return *c;
}

// The document after the operations, or nullopt if they are refused.
std::optional<fleet_config> apply_operations(fleet_config const& c, std::vector<operation> ops,
                                             revision in_force = all_revisions_in_force)
{
    findings f;
    return value_or_findings(
        [&] { return apply(c, change(c.rev.value + 1, 77, std::move(ops)), in_force); }, f);
}

} // namespace

TEST_CASE("operations are refused when the document would break a rule")
{
    fleet_config const c = initial_config();
    CHECK(apply_operations(c, {set_default{"queue_limit", 10}}));
    CHECK_FALSE(apply_operations(c, {set_default{"queue_limit", -1}}));
    CHECK_FALSE(apply_operations(c, {set_default{"colour", 1}}));
    CHECK_FALSE(apply_operations(c, {}));
    CHECK_FALSE(apply_operations(c, {put_service{{{3}, "desk"}}}));
    CHECK_FALSE(apply_operations(c, {put_upstream{upstream(3, 9, "127.0.1.3:9000")}}));
    CHECK_FALSE(apply_operations(c, {put_upstream{upstream(3, 1, "127.0.1.2:9000")}}));
    CHECK_FALSE(apply_operations(c, {put_upstream{upstream(1, 1, "127.0.1.3:9000")}}));
    CHECK_FALSE(apply_operations(c, {set_upstream_state{"u9", upstream_state::draining}}));
    CHECK_FALSE(apply_operations(c, {add_exception{"upstream/u1", "weight", 50, "short"}}));
    CHECK_FALSE(apply_operations(c, {add_exception{"upstream/u1", "weight", 5000, "long enough"}}));
    CHECK_FALSE(apply_operations(c, {add_exception{"upstream/u9", "weight", 50, "long enough"}}));
    CHECK_FALSE(apply_operations(c, {remove_exception{"upstream/u1", "weight"}}));
    auto const with_exception =
        apply_operations(c, {add_exception{"upstream/u1", "weight", 50, "old disk in host"}});
    REQUIRE(with_exception);
    CHECK(effective_value(*with_exception, setting::weight, {1}, zone_id{1}, upstream_id{1}) == 50);
    CHECK(with_exception->exceptions[0].author == "ana");
    CHECK(apply_operations(*with_exception, {remove_exception{"upstream/u1", "weight"}}));
}

// Guards against a check that stops at the first finding, so that operators have to fix and retry
// one by one.
TEST_CASE("all findings of a change are reported together")
{
    findings f;
    config_change c = change(9, 1, {set_default{"x", 1}, set_default{"weight", -1}});
    c.author = " ";
    value_or_findings([&] { return apply(initial_config(), c); }, f);
    CHECK(f.size() == 4);
}

// Guards against a change that takes out every zone.
TEST_CASE("the last zone that is in cannot be taken out, and zones return over the ramp")
{
    auto const out = apply_operations(initial_config(), {set_zone_state{"akl", zone_state::out}});
    REQUIRE(out);
    CHECK(out->zones[0].changed_at == revision{2});
    CHECK_FALSE(apply_operations(*out, {set_zone_state{"wlg", zone_state::out}}));
    CHECK_FALSE(apply_operations(initial_config(), {set_zone_state{"akl", zone_state::out},
                                                    set_zone_state{"wlg", zone_state::out}}));
    auto const back = apply_operations(*out, {set_zone_state{"akl", zone_state::in}});
    REQUIRE(back);
    CHECK(back->zones[0].state == zone_state::returning);
    auto const repeated = apply_operations(*back, {set_zone_state{"akl", zone_state::in}});
    CHECK(repeated->zones[0].changed_at == revision{3});
}

// Guards against delivering packets of one service to another one that reuses the address.
TEST_CASE("an address goes to another service only after its release is in force everywhere")
{
    auto const retired =
        apply_operations(initial_config(), {set_upstream_state{"u1", upstream_state::retired}});
    REQUIRE(retired);
    REQUIRE(retired->upstreams.size() == 2);
    CHECK(retired->upstreams[0].retired_at == revision{2});
    put_upstream const reuse_address{upstream(5, 2, "127.0.1.1:9000")};
    // A host where the upstream is still retired would send the packets of its flows to the new
    // service.
    CHECK_FALSE(apply_operations(*retired, {reuse_address}, all_revisions_in_force));
    CHECK_FALSE(
        apply_operations(initial_config(), {set_upstream_state{"u1", upstream_state::released}}));
    auto const released =
        apply_operations(*retired, {set_upstream_state{"u1", upstream_state::released}});
    REQUIRE(released);
    CHECK(released->upstreams[0].retired_at == revision{3});
    CHECK_FALSE(apply_operations(*released, {set_upstream_state{"u1", upstream_state::active}}));
    CHECK_FALSE(apply_operations(*released, {set_upstream_state{"u1", upstream_state::retired}}));
    CHECK_FALSE(apply_operations(*released, {reuse_address}, revision{2}));
    auto const reused = apply_operations(*released, {reuse_address}, revision{3});
    REQUIRE(reused);
    REQUIRE(reused->upstreams.size() == 2);
    CHECK(reused->upstreams[1].owner == incarnation{2});
    // The same service may reuse the address immediately, under a new incarnation.
    auto const same =
        apply_operations(*retired, {put_upstream{upstream(5, 1, "127.0.1.1:9000")}}, {});
    REQUIRE(same);
    CHECK(same->upstreams.size() == 3);
    CHECK(same->upstreams[2].owner == incarnation{2});
    CHECK(apply_operations(*retired, {put_upstream{upstream(1, 1, "127.0.1.1:9000")}}, {}));
}

TEST_CASE("changes that touch different names are independent")
{
    auto const a = change(2, 1, {set_default{"weight", 1}});
    CHECK(independent(a, change(2, 2, {set_upstream_state{"u1", upstream_state::draining}})));
    CHECK_FALSE(independent(a, change(2, 2, {set_default{"weight", 2}})));
    auto const out = change(2, 1, {set_zone_state{"akl", zone_state::out}});
    CHECK_FALSE(independent(out, change(2, 2, {set_zone_state{"wlg", zone_state::out}})));
}

// Guards against a revision that decreases or skips a change.
TEST_CASE("the log takes only the next change or a higher snapshot")
{
    config_log log;
    CHECK(log.apply(sample::first_change()).step == log_step::applied);
    CHECK(log.apply(sample::first_change()).step == log_step::known);
    CHECK(log.apply(change(3, 3, {rotate_key{}})).step == log_step::gap);
    CHECK(log.apply(change(2, 2, {set_default{"x", 1}})).step == log_step::refused);
    for (std::uint64_t r = 2; r <= 300; ++r)
        REQUIRE(log.apply(change(r, r, {rotate_key{}})).step == log_step::applied);
    CHECK_FALSE(log.install(initial_config()));
    CHECK(log.rev() == revision{300});
    CHECK(log.changes_since({300})->empty());
    CHECK(log.changes_since({298})->front().rev == revision{299});
    CHECK(log.changes_since({44})->size() == 256);
    CHECK_FALSE(log.changes_since({43}));
    CHECK(log.find_change(sample::change_id(290))->rev == revision{290});
    CHECK_FALSE(log.find_change(sample::change_id(1)));
    config_log other;
    CHECK(other.install(*log.current()));
    CHECK(other.history_start() == revision{300});
    CHECK(invariants::violations() == 0);
}

TEST_CASE("configuration, changes, host list and events round-trip through JSON")
{
    findings f;
    auto const c = apply_operations(initial_config(),
                                    {set_zone_state{"akl", zone_state::out},
                                     add_exception{"zone/wlg", "weight", 50, "reason é \"x\""},
                                     set_upstream_state{"u1", upstream_state::retired}});
    REQUIRE(c);
    CHECK(value_or_findings([&] { return decode_config(encode(*c)); }, f) == c);
    config_change all = sample::first_change();
    for (operation const& op : std::vector<operation>{
             set_default{"weight", -5}, set_upstream_state{"u1", upstream_state::draining},
             set_zone_state{"akl", zone_state::returning}, add_exception{"a", "b", 3, "c"},
             remove_exception{"a", "b"}, rotate_key{}})
        all.operations.push_back(op);
    CHECK(value_or_findings([&] { return decode_change(encode(all)); }, f) == all);
    proposed_change const proposal{change(0, 5, {rotate_key{}}), revision{7}};
    CHECK(value_or_findings([&] { return decode_proposal(encode(proposal)); }, f) == proposal);
    host_list list{9,
                   {{listed_kind::entry, 3, {1}, host_state::leaving, {1, 2}, {3, 4}, {5, 6}},
                    {listed_kind::upstream, 70000, {2}, host_state::live, {}, {}, {}}}};
    findings skipped;
    CHECK(value_or_findings([&] { return decode_host_list(encode(list), skipped); }, f) == list);
    CHECK(skipped.empty());
    event const e{~0ULL, {4}, "lease.granted", "pool/desk@akl", "x"};
    CHECK(value_or_findings([&] { return decode_event(encode(e)); }, f) == e);
    CHECK(f.empty());
}

// Guards against silently ignoring misspelt members.
TEST_CASE("JSON that is not a valid change is refused with all findings")
{
    findings f;
    value_or_findings(
        []
        {
            return decode_change(R"({"revision":-1,"change_id":5,"author":"a","reason":"",
                "time_ms":1,"extra":1,"operations":[{"op":"what"},{"op":"set_default","key":"x"}]})");
        },
        f);
    CHECK(f.size() == 5);
    for (char const* invalid : {"", "[]", "{", "{\"a\":[[[[[[[[[[1]]]]]]]]]]}"})
        CHECK_FALSE(value_or_findings([&] { return decode_change(invalid); }, f));
    CHECK_FALSE(value_or_findings(
        [] { return decode_config(std::string(max_document_bytes + 1, ' ')); }, f));
}
