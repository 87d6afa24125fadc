#include "tests/edge_fixture.hpp"

#include <catch2/catch.hpp>
#include <map>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// A store that keeps one host's address under a lease, and may refuse calls.
struct small_store
{
    bool serves{true};
    std::uint64_t leases{};
    time_point lease_until{};
    bool holds_address{};
    std::map<directory_step, int> calls;

    void step(host_directory& d, time_point now)
    {
        holds_address = holds_address && now < lease_until;
        directory_step const s = d.next(now);
        if (s == directory_step::wait)
            return;
        ++calls[s];
        if (!serves)
            return d.on_failure(s, now);
        if (s == directory_step::read_directory)
            d.on_directory(holds_address, now);
        else if (s == directory_step::request_lease)
        {
            lease_until = now + directory_lease_time;
            d.on_lease({++leases}, now);
        }
        else if (s == directory_step::write_address)
        {
            holds_address = now < lease_until;
            holds_address ? d.on_written() : d.on_lease_ended(now);
        }
        else if (now < lease_until)
        {
            lease_until = now + directory_lease_time;
            d.on_renewed(now);
        }
        else
            d.on_lease_ended(now);
    }
};

} // namespace

// Guards against addresses that stay in the store when their hosts are gone, and against a living
// host whose address runs out.
TEST_CASE("an address lasts as long as its host and no longer", "[edge][directory]")
{
    small_store store;
    host_directory d(1);
    time_point now = edge_start;
    for (; now < edge_start + 60min; now += 100ms)
    {
        store.step(d, now);
        if (now > edge_start + 1s)
            REQUIRE(store.holds_address);
    }
    CHECK(d.complete());
    CHECK(store.calls[directory_step::write_address] == 1);
    CHECK(store.calls[directory_step::renew_lease] <= 3 * (60min / directory_lease_time));
    CHECK(store.calls[directory_step::read_directory] >= 80); // a reading in 45 s at least
    CHECK(store.lease_until <= now + directory_lease_time);
}

// Guards against a host that nobody finds any more: its lease ended while the store was away.
TEST_CASE("an address that was lost is written again", "[edge][directory]")
{
    small_store store;
    host_directory d(1);
    time_point now = edge_start;
    for (; now < edge_start + 5s; now += 100ms)
        store.step(d, now);
    store.holds_address = false;
    store.lease_until = now;
    for (time_point const end = now + 50s; now < end; now += 100ms)
        store.step(d, now);
    CHECK(store.holds_address);
    CHECK(store.leases == 2);
}

// Guards against a store that is asked again and again while it turns this host away, and against
// readings that wait for writes.
TEST_CASE("refused calls are repeated at a pace", "[edge][directory]")
{
    small_store store;
    store.serves = false;
    host_directory d(1);
    time_point now = edge_start;
    for (; now < edge_start + 10s; now += 50ms)
        store.step(d, now);
    CHECK(store.calls[directory_step::read_directory] == 5);
    CHECK(store.calls[directory_step::request_lease] == 5);
    CHECK(d.due() > now - 50ms);
    store.serves = true;
    for (time_point const end = now + 3s; now < end; now += 50ms)
        store.step(d, now);
    CHECK(d.complete());
}

// Guards against calls without a pause to a store that takes each lease away at once.
TEST_CASE("leases that end at once are asked for at a pace", "[edge][directory]")
{
    host_directory d(1);
    int leases = 0;
    for (time_point now = edge_start; now < edge_start + 10s; now += 50ms)
    {
        directory_step const s = d.next(now);
        if (s == directory_step::read_directory)
            d.on_directory(false, now);
        else if (s == directory_step::request_lease)
            d.on_lease({static_cast<std::uint64_t>(++leases)}, now);
        else if (s == directory_step::write_address)
            d.on_lease_ended(now);
    }
    CHECK(leases == 5);
}

} // namespace chivelever
