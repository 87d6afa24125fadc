// A small in-memory store with the faults of the platform's: outages, lost answers, writes that
// take effect late, and a return to an older state.
#ifndef CHIVELEVER_TESTS_FAKE_STORE_HPP
#define CHIVELEVER_TESTS_FAKE_STORE_HPP

#include "coordination/coordination.hpp"

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
    struct faults
    {
        bool down = false;
        double lost_question = 0; // nothing happens, no answer
        double lost_answer = 0;   // the write takes effect, no answer
        double late_write = 0;    // no answer, the write takes effect later
    };
    using content = std::map<std::string, std::pair<std::string, std::uint64_t>>;

    explicit fake_store(std::uint64_t seed = 1) : random_(seed) {}

    chivelever::store_value get(std::string const& key)
    {
        ++calls;
        if (failed(fault.lost_question + fault.lost_answer))
            return {chivelever::store_status::unreachable, {}, 0};
        return look(key);
    }

    chivelever::store_value compare_and_swap(std::string const& key, std::string const& value,
                                             std::uint64_t expected)
    {
        ++calls;
        if (failed(fault.lost_question))
            return {chivelever::store_status::unreachable, {}, 0};
        if (chance(fault.late_write))
        {
            late_.push_back({key, value, expected});
            return {chivelever::store_status::unreachable, {}, 0};
        }
        chivelever::store_value done = write(key, value, expected);
        if (chance(fault.lost_answer))
            return {chivelever::store_status::unreachable, {}, 0};
        return done;
    }

    // Time does not pass in a call, so a watch answers at once.
    chivelever::store_value watch(std::string const& key, std::uint64_t, chivelever::duration)
    {
        return get(key);
    }

    void land_late_writes()
    {
        for (late const& w : late_)
            write(w.key, w.value, w.expected);
        late_.clear();
    }

    void restore(content older)
    {
        late_.clear();
        data = std::move(older);
    }

    content data;
    faults fault;
    std::uint64_t calls = 0;

private:
    struct late
    {
        std::string key;
        std::string value;
        std::uint64_t expected;
    };

    bool chance(double p) { return std::uniform_real_distribution<>(0, 1)(random_) < p; }
    bool failed(double p) { return fault.down || chance(p); }

    chivelever::store_value look(std::string const& key) const
    {
        auto const it = data.find(key);
        if (it == data.end())
            return {chivelever::store_status::not_found, {}, 0};
        return {chivelever::store_status::done, it->second.first, it->second.second};
    }

    chivelever::store_value write(std::string const& key, std::string const& value,
                                  std::uint64_t expected)
    {
        chivelever::store_value const there = look(key);
        if (there.index != expected)
            return {chivelever::store_status::conflict, {}, there.index};
        data[key] = {value, ++index_};
        return {chivelever::store_status::done, value, index_};
    }

    std::mt19937_64 random_;
    std::uint64_t index_ = 0;
    std::deque<late> late_;
};
static_assert(chivelever::platform_store<fake_store>);

} // namespace sample

#endif
