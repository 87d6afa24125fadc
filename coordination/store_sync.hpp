// Shared by submission and watching: keys and encodings of the store's values, and the backoff
// after failed calls. Create-if-absent in the store resolves concurrent writes; operations built on
// it may be repeated safely.
#ifndef CHIVELEVER_COORDINATION_STORE_SYNC_HPP
#define CHIVELEVER_COORDINATION_STORE_SYNC_HPP

#include "coordination/concepts.hpp"
#include "state/state.hpp"

#include <functional>
#include <optional>
#include <string>

namespace chivelever
{

// Encodings of the values in the store. The daemon supplies them from the protocol package, which
// this package does not link.
struct store_codec
{
    std::function<std::string(config_change const&)> encode_change;
    std::function<std::optional<config_change>(std::string const&)> decode_change;
    std::function<std::string(fleet_config const&)> encode_config;
    std::function<std::optional<fleet_config>(std::string const&)> decode_config;
};

struct store_keys
{
    std::string deployment;
    std::string change(revision rev) const
    {
        return deployment + "/config/change/" + std::to_string(rev.value);
    }
    std::string snapshot() const { return deployment + "/config/snapshot"; }
};

// Exponential backoff with full jitter: each pause is uniform between 0 and a bound that doubles,
// so that clients which fail together do not retry together.
class jitter_backoff
{
public:
    static constexpr duration initial_bound{200'000}; // 200 ms
    static constexpr duration max_bound{30'000'000};  // 30 s

    duration next(std::uint64_t random);
    void reset() { bound_ = initial_bound; }

private:
    duration bound_{initial_bound};
};

} // namespace chivelever

#endif
