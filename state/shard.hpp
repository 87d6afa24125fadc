// State split into shards, each under its own lock, so that threads seldom wait for each other.
#ifndef CHIVELEVER_STATE_SHARD_HPP
#define CHIVELEVER_STATE_SHARD_HPP

#include <array>
#include <cstddef>
#include <mutex>

namespace chivelever
{

template<class T, std::size_t Count = 16>
class sharded
{
public:
    // Runs f on the shard of this hash while its lock is held.
    template<class F>
    decltype(auto) with(std::size_t hash, F&& f)
    {
        slot& s = slots_[(hash >> 32 ^ hash) % Count];
        std::lock_guard const lock(s.mutex);
        return f(s.value);
    }

    // Runs f on every shard, one lock at a time.
    template<class F>
    void for_each(F&& f)
    {
        for (slot& s : slots_)
        {
            std::lock_guard const lock(s.mutex);
            f(s.value);
        }
    }

private:
    struct alignas(64) slot
    {
        std::mutex mutex;
        T value{};
    };
    std::array<slot, Count> slots_;
};

} // namespace chivelever

#endif
