// Bounds on control-plane traffic, in counts that do not depend on the machine.
#include "bench/scale/fleet.hpp"

#include <catch2/catch.hpp>

using namespace chivelever;
using namespace chivelever::scale;
using namespace std::chrono_literals;

namespace
{

struct rates
{
    summary_statistics bytes;    // sent and received, per second
    summary_statistics messages; // sent, per second
};

rates measure_steady_state(std::size_t nodes, std::size_t zones, std::size_t pools, duration time)
{
    fleet f({nodes, zones, pools});
    f.run_for(30s);
    f.reset_counters();
    f.run_for(time);
    CHECK(f.pools_held() > 0.999);
    CHECK(f.false_suspicions() == 0);
    std::vector<double> bytes;
    std::vector<double> messages;
    double const seconds = std::chrono::duration<double>(time).count();
    for (host_counters const& c : f.counts())
    {
        bytes.push_back(static_cast<double>(c.bytes_sent + c.bytes_received) / seconds);
        messages.push_back(static_cast<double>(c.messages_sent) / seconds);
    }
    auto const change_seconds = summary_statistics::of(f.measure_change_propagation());
    CHECK(change_seconds.max < 10);
    CHECK(change_seconds.max > 0);
    return {summary_statistics::of(bytes), summary_statistics::of(messages)};
}

} // namespace

// Guards against control traffic above its budget of 7 KB per second and host.
TEST_CASE("control traffic of 9 and 60 hosts stays within its bounds")
{
    rates const nine_hosts = measure_steady_state(9, 3, 47, 20s);
    CHECK(nine_hosts.bytes.max < 1'800);
    CHECK(nine_hosts.messages.max < 10);
    rates const sixty_hosts = measure_steady_state(60, 1, 314, 10s);
    CHECK(sixty_hosts.bytes.mean < 4'300);
    CHECK(sixty_hosts.bytes.max < 5'500);
    CHECK(sixty_hosts.messages.max < 25);
}
