// Interfaces between the coordination logic and its environment. The daemon, the seeded simulation
// runs and external benchmarks each provide models of these concepts; the coordination logic is the
// same code in all of them.
#ifndef CHIVELEVER_COORDINATION_CONCEPTS_HPP
#define CHIVELEVER_COORDINATION_CONCEPTS_HPP

#include "state/state.hpp"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace chivelever
{

// Sends one packet to a caller, host or upstream. Packets may be lost.
template<class T>
concept packet_output = requires(T& t, send_packet const& p)
{
    t.send(p);
};

// Sends a control message to another host. Messages may be lost.
template<class T>
concept peer_channel = requires(T& t, host_id to, heartbeat const& h, lease_request const& q,
                                lease_reply const& r, pool_handover const& m)
{
    t.send(to, h);
    t.send(to, q);
    t.send(to, r);
    t.send(to, m);
};

enum class store_status : std::uint8_t
{
    done,
    conflict, // the current value is not the expected one
    not_found,
    unreachable // a write may or may not have taken effect
};
struct store_value
{
    store_status status{};
    std::string value;
    std::uint64_t index{}; // modification index for compare-and-swap and watches
    bool operator==(store_value const&) const = default;
};

// The platform's key-value service. Calls block and are made only by the store thread and by tests.
template<class T>
concept platform_store = requires(T& t, std::string const& key, std::string const& value,
                                  std::uint64_t index, duration wait)
{
    {
        t.get(key)
        } -> std::same_as<store_value>;
    // index 0: create the key only if it is absent
    {
        t.compare_and_swap(key, value, index)
        } -> std::same_as<store_value>;
    // returns when the index of the key differs from `index`, or after `wait`
    {
        t.watch(key, index, wait)
        } -> std::same_as<store_value>;
};

template<class T>
concept random_source = requires(T& t)
{
    {
        t()
        } -> std::convertible_to<std::uint64_t>;
};

template<class T>
concept event_sink = requires(T& t, std::string_view kind, std::string_view subject,
                              std::string_view detail)
{
    t.record(kind, subject, detail);
};

// Invokes a subscriber once per period until the returned token is destroyed.
template<class T>
concept timer_service = requires(T& t, duration period, std::function<void(time_point)> f)
{
    t.subscribe(period, f);
    {
        t.now()
        } -> std::same_as<time_point>;
};

} // namespace chivelever

#endif
