// State split into shards with a lock each, to reduce lock contention between threads.
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
    // Calls f on the shard selected by `hash`, holding its lock.
    template<class F>
    decltype(auto) with_shard(std::size_t hash, F&& f)
    {
        shard& s = shards_[(hash >> 32 ^ hash) % Count];
        std::lock_guard const lock(s.mutex);
        return f(s.value);
    }

    // Calls f on every shard in turn, holding only that shard's lock.
    template<class F>
    void for_each(F&& f)
    {
        for (shard& s : shards_)
        {
            std::lock_guard const lock(s.mutex);
            f(s.value);
        }
    }

private:
    struct alignas(64) shard
    {
        std::mutex mutex;
        T value{};
    };
    std::array<shard, Count> shards_;
};

} // namespace chivelever

#endif
