// Discrete event simulation: virtual time, seeded random numbers, digest of the event log, and
// violations.
#ifndef CHIVELEVER_SOAK_SIM_HPP
#define CHIVELEVER_SOAK_SIM_HPP

#include "coordination/coordination.hpp"

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace chivelever::soak
{

// Global virtual time in microseconds. Host clocks drift against it.
using sim_time = std::int64_t;
inline constexpr sim_time ms = 1'000;
inline constexpr sim_time second = 1'000'000;

// Runs events in order of time, then of scheduling, so that a seed replays exactly.
class simulation
{
public:
    explicit simulation(std::uint64_t seed) : random(seed) {}

    sim_time now() const { return now_; }
    void after(sim_time delay, std::function<void()> f)
    {
        queue_.push_back({now_ + delay, next_++, std::move(f)});
        std::push_heap(queue_.begin(), queue_.end());
    }
    // Runs the next event; returns false if there is none.
    bool step()
    {
        if (queue_.empty())
            return false;
        std::pop_heap(queue_.begin(), queue_.end());
        event e = std::move(queue_.back());
        queue_.pop_back();
        now_ = e.at;
        add_to_digest(static_cast<std::uint64_t>(e.at), e.order);
        e.run();
        return true;
    }

    // Adds to the digest of the event log.
    void add_to_digest(std::uint64_t a, std::uint64_t b)
    {
        digest_ = hash_pair(digest_, hash_pair(a, b));
    }
    std::uint64_t digest() const { return digest_; }

    bool chance(double p) { return boost::random::uniform_real_distribution<>(0, 1)(random) < p; }
    std::uint64_t below(std::uint64_t n)
    {
        return boost::random::uniform_int_distribution<std::uint64_t>(0, n - 1)(random);
    }
    sim_time between(sim_time low, sim_time high)
    {
        return boost::random::uniform_int_distribution<sim_time>(low, high)(random);
    }
    sim_time exponential(sim_time mean)
    {
        return static_cast<sim_time>(
            boost::random::exponential_distribution<>(1.0 / static_cast<double>(mean))(random));
    }

    void violation(std::string rule, std::string const& detail)
    {
        ++violations;
        if (reports.size() < max_reports)
            reports.push_back(std::to_string(now_ / ms) + " ms: " + std::move(rule) + ": " +
                              detail);
    }

    std::mt19937_64 random;
    std::uint64_t violations{};
    std::vector<std::string> reports;
    std::vector<std::string> trace; // faults and configuration changes, with --trace
    bool tracing{};
    void log(std::string const& text)
    {
        add_to_digest(hash_bytes(text), 0);
        if (tracing)
            trace.push_back(std::to_string(now_ / ms) + " ms: " + text);
    }

private:
    static constexpr std::size_t max_reports = 10;
    struct event
    {
        sim_time at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(event const& o) const { return at != o.at ? at > o.at : order > o.order; }
    };
    std::vector<event> queue_; // heap
    sim_time now_{};
    std::uint64_t next_{};
    std::uint64_t digest_{};
};

} // namespace chivelever::soak

#endif
