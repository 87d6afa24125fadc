#include "transport/transport.hpp"

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;
namespace asio = boost::asio;

endpoint unused_local_endpoint(asio::io_context& io)
{
    asio::ip::udp::socket const probe(
        io, {asio::ip::make_address_v4("127.0.0.1"), asio::ip::port_type{0}});
    return {0x7F000001, probe.local_endpoint().port()};
}

} // namespace

// Guards against a host that takes SYNs for new that waited at its socket while it stood still:
// each datagram has its own age, and one that has just arrived is young though older ones wait
// before it.
TEST_CASE("the age of a datagram is counted from its arrival", "[edge][transport]")
{
    asio::io_context io(1);
    endpoint const local = unused_local_endpoint(io);
    std::vector<duration> ages;
    loop_udp* receiving = nullptr;
    loop_udp receiver(io, local,
                      [&](std::string_view, endpoint) { ages.push_back(receiving->waited()); });
    receiving = &receiver;
    loop_udp sender(io, {0x7F000001, 0}, [](std::string_view, endpoint) {});
    // The kernel begins to record times of arrival shortly after they have been requested; until
    // then a datagram has the time at which it is read.
    for (int i = 0; i < 100 && (ages.empty() || ages.back() < 20ms); ++i)
    {
        sender.send(local, "before");
        std::this_thread::sleep_for(20ms);
        receiver.drain();
    }
    ages.clear();
    time_point const first_sent = boot_time_now();
    sender.send(local, "first");
    std::this_thread::sleep_for(60ms);
    time_point const second_sent = boot_time_now();
    sender.send(local, "second");
    receiver.drain();
    time_point const read = boot_time_now();
    REQUIRE(ages.size() == 2);
    CHECK(ages[0] >= 55ms);
    CHECK(ages[0] <= read - first_sent + 1ms);
    CHECK(ages[1] <= read - second_sent + 1ms);
}

} // namespace chivelever
