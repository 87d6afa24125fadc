// What decisions need from the outside world. The daemon, the seeded runs and an outside bench each
// bring their own models of these concepts; the decisions are the same objects in all of them.
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

// Sends one packet to a caller, host or upstream; loss is allowed.
template<class T>
concept packet_output = requires(T& t, send_packet const& p)
{
    t.send(p);
};

// Sends a control message to another host; loss is allowed.
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
    conflict, // the key has another value than expected
    not_found,
    unreachable // nothing is known about the effect of a write
};
struct store_value
{
    store_status status{};
    std::string value;
    std::uint64_t index{}; // modification index, for compare-and-swap and watches
    bool operator==(store_value const&) const = default;
};

// The platform's key-value service. Calls block; only the store thread and tests call them.
template<class T>
concept platform_store = requires(T& t, std::string const& key, std::string const& value,
                                  std::uint64_t index, duration wait)
{
    {
        t.get(key)
        } -> std::same_as<store_value>;
    // expected 0: create only if the key is absent
    {
        t.compare_and_swap(key, value, index)
        } -> std::same_as<store_value>;
    // returns when the key's index differs from `index` or after `wait`
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

// Calls a subscriber each period until the returned token is destroyed.
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
