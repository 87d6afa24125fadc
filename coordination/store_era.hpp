// The era of the store that a host calls, as its responses state it.
#ifndef CHIVELEVER_COORDINATION_STORE_ERA_HPP
#define CHIVELEVER_COORDINATION_STORE_ERA_HPP

#include "state/state.hpp"

#include <cstdint>

namespace chivelever
{

// Rejects responses of an earlier era than one that the same store has sent, which a replica that
// was not restored may send: their revisions are not comparable.
class store_era
{
public:
    // Returns false if the response must not be used.
    bool observe(endpoint store, std::uint64_t era)
    {
        if (store == store_ && era < latest_)
            return false;
        store_ = store;
        latest_ = era;
        return true;
    }
    std::uint64_t latest() const { return latest_; }

private:
    endpoint store_;
    std::uint64_t latest_{};
};

} // namespace chivelever

#endif
