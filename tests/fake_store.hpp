// In-memory store that injects the faults of the platform's store: outages, lost requests and
// replies, delayed writes, and a rollback to an older state.
#ifndef CHIVELEVER_TESTS_FAKE_STORE_HPP
#define CHIVELEVER_TESTS_FAKE_STORE_HPP

#include "coordination/coordination.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace sample
{

class fake_store
{
public:
    // The numbers are probabilities per call.
    struct faults
    {
        bool down = false;
        double lost_request = 0;  // the call has no effect and gets no reply
        double lost_reply = 0;    // the call takes effect, but the reply is lost
        double delayed_write = 0; // no reply; the write takes effect later
    };
    using content = std::map<std::string, std::pair<std::string, std::uint64_t>>;

    explicit fake_store(std::uint64_t seed = 1) : random_(seed) {}

    chivelever::store_value get(std::string const& key)
    {
        ++calls;
        if (failed(fault.lost_request + fault.lost_reply))
            return {chivelever::store_status::unreachable, {}, 0};
        return read(key);
    }

    chivelever::store_value compare_and_swap(std::string const& key, std::string const& value,
                                             std::uint64_t expected)
    {
        ++calls;
        if (failed(fault.lost_request))
            return {chivelever::store_status::unreachable, {}, 0};
        if (chance(fault.delayed_write))
        {
            delayed_.push_back({key, value, expected});
            return {chivelever::store_status::unreachable, {}, 0};
        }
        chivelever::store_value result = write(key, value, expected);
        if (chance(fault.lost_reply))
            return {chivelever::store_status::unreachable, {}, 0};
        return result;
    }

    // Simulated time does not advance during a call, so a watch returns immediately.
    chivelever::store_value watch(std::string const& key, std::uint64_t, chivelever::duration)
    {
        return get(key);
    }

    void apply_delayed_writes()
    {
        for (pending_write const& w : delayed_)
            write(w.key, w.value, w.expected);
        delayed_.clear();
    }

    // A store that reuses indexes continues after the highest one in the older state.
    void restore(content older, bool reuse_indexes = false)
    {
        delayed_.clear();
        data = std::move(older);
        if (!reuse_indexes)
            return;
        index_ = 0;
        for (auto const& [key, stored] : data)
            index_ = std::max(index_, stored.second);
    }

    content data;
    faults fault;
    std::uint64_t calls = 0;

private:
    struct pending_write
    {
        std::string key;
        std::string value;
        std::uint64_t expected;
    };

    bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }
    bool failed(double p) { return fault.down || chance(p); }

    chivelever::store_value read(std::string const& key) const
    {
        auto const it = data.find(key);
        if (it == data.end())
            return {chivelever::store_status::not_found, {}, 0};
        return {chivelever::store_status::done, it->second.first, it->second.second};
    }

    chivelever::store_value write(std::string const& key, std::string const& value,
                                  std::uint64_t expected)
    {
        chivelever::store_value const current = read(key);
        if (current.index != expected)
            return {chivelever::store_status::conflict, {}, current.index};
        data[key] = {value, ++index_};
        return {chivelever::store_status::done, value, index_};
    }

    std::mt19937_64 random_;
    std::uint64_t index_ = 0;
    std::deque<pending_write> delayed_;
};
static_assert(chivelever::platform_store<fake_store>);

} // namespace sample

#endif
