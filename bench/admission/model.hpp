// Virtual time and upstream models for the admission experiments. Deterministic for a given seed.
#ifndef CHIVELEVER_BENCH_ADMISSION_MODEL_HPP
#define CHIVELEVER_BENCH_ADMISSION_MODEL_HPP

#include "coordination/coordination.hpp"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace chivelever::experiment
{

using random_engine = boost::random::mt19937_64;

// Parameters of one run.
struct scenario
{
    std::uint32_t upstreams{14};
    std::uint16_t slots{3};
    std::uint32_t balancers{9};
    double load{0.9}; // offered rate relative to total slots / mean service time
    double mean_service_s{0.020};
    double sigma{0}; // of a lognormal service time; 0 means exponential
    duration deadline{std::chrono::milliseconds(300)};
    duration one_way_delay{std::chrono::microseconds(500)}; // network delay between two processes
    double idempotent{0.5};
    double seconds{20};
    double measure_from{3};
    bool start_cold{};
    double cold_at{0}; // when upstreams 0..cold_count-1 crash and restart cold
    std::uint32_t cold_count{0};
    std::uint32_t warm_after_answers{4}; // warm after both this and warm_after_s
    double warm_after_s{0};
    double cold_slowness{1}; // service time factor while cold
    double outage_from{0};   // start of an outage of all upstreams
    double outage_to{0};
    std::uint64_t seed{1};

    double requests_per_s() const { return load * upstreams * slots / mean_service_s; }
};

inline duration to_duration(double s)
{
    return duration(static_cast<duration::rep>(s * 1e6));
}
inline double to_seconds(duration d)
{
    return static_cast<double>(d.count()) / 1e6;
}

// Runs callbacks in order of virtual time; callbacks at the same time run in scheduling order.
class event_loop
{
public:
    time_point now() const { return now_; }
    void at(time_point t, std::function<void()> f) { events_.push({t, next_++, std::move(f)}); }
    void after(duration d, std::function<void()> f) { at(now_ + d, std::move(f)); }
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().time <= end)
        {
            event e = std::move(const_cast<event&>(events_.top()));
            events_.pop();
            now_ = e.time;
            e.run();
        }
        now_ = end;
    }

private:
    struct event
    {
        time_point time;
        std::uint64_t order;
        std::function<void()> run;
        bool operator<(event const& o) const
        {
            return time != o.time ? time > o.time : order > o.order;
        }
    };
    std::priority_queue<event> events_;
    std::uint64_t next_{0};
    time_point now_{std::chrono::seconds(1000)};
};

// An upstream with a fixed number of slots. While warm, it sheds requests beyond them. While cold,
// it handles one request at a time; a second one crashes it: it loses its requests and does not
// respond for `crash_outage`.
class upstream_model
{
public:
    static constexpr duration crash_outage = std::chrono::milliseconds(500);

    upstream_model(scenario const& s, event_loop& loop, random_engine& random)
        : s_(s), loop_(loop), random_(random)
    {
        if (s.start_cold)
            restart();
    }

    // Drops all requests in progress and starts cold.
    void restart()
    {
        in_progress_.clear();
        cold_ = true;
        cold_since_ = loop_.now();
        served_cold_ = 0;
    }
    void set_down(bool down)
    {
        down_ = down;
        in_progress_.clear();
    }
    std::uint32_t capacity() const { return cold_ ? 1 : s_.slots; }
    std::size_t occupied() const { return in_progress_.size(); }
    bool cold() const { return cold_; }

    using on_done = std::function<void(packet_status)>;
    void arrive(std::uint64_t token, duration deadline, on_done done)
    {
        ++arrived;
        if (down_ || loop_.now() < down_until_)
            return;
        if (in_progress_.size() >= capacity())
        {
            ++excess;
            if (!cold_)
                return done(packet_status::shed);
            ++excess_cold;
            ++crashes;
            restart();
            down_until_ = loop_.now() + crash_outage;
            return;
        }
        std::uint64_t const run = ++runs_;
        in_progress_.emplace(token, run);
        duration const service = service_time();
        bool const in_time = service <= deadline;
        loop_.after(std::min(service, deadline),
                    [this, token, run, in_time, done = std::move(done)]
                    {
                        auto const it = in_progress_.find(token);
                        if (it == in_progress_.end() || it->second != run)
                            return; // dropped by a restart, or cancelled
                        in_progress_.erase(it);
                        if (!in_time)
                            return;
                        ++served;
                        count_warm_answer();
                        done(packet_status::ok);
                    });
    }
    // True if the request was in progress.
    bool cancel(std::uint64_t token) { return in_progress_.erase(token) != 0; }

    double overload_seconds() const
    {
        return static_cast<double>(crashes) * to_seconds(crash_outage);
    }

    std::uint64_t arrived{}, served{}, excess{}, excess_cold{}, crashes{};

private:
    void count_warm_answer()
    {
        if (!cold_)
            return;
        ++served_cold_;
        cold_ = served_cold_ < s_.warm_after_answers ||
                to_seconds(loop_.now() - cold_since_) < s_.warm_after_s;
    }
    duration service_time()
    {
        double t = 0;
        if (s_.sigma > 0)
            t = boost::random::lognormal_distribution<double>(
                std::log(s_.mean_service_s) - s_.sigma * s_.sigma / 2, s_.sigma)(random_);
        else
            t = boost::random::exponential_distribution<double>(1 / s_.mean_service_s)(random_);
        return std::max(to_duration(cold_ ? t * s_.cold_slowness : t), duration{1});
    }

    scenario const& s_;
    event_loop& loop_;
    random_engine& random_;
    std::map<std::uint64_t, std::uint64_t> in_progress_; // token -> serial number of the execution
    std::uint64_t runs_{};
    bool cold_{};
    bool down_{};
    time_point cold_since_;
    std::uint32_t served_cold_{};
    time_point down_until_{time_point::min()};
};

// Results of one run.
struct result
{
    std::uint64_t offered{}, in_time{}, not_run{}, lost{}; // requests sent after measure_from
    std::uint64_t all_offered{}, attempts{};               // over the whole run
    std::uint64_t outage_offered{}, outage_attempts{};
    std::uint64_t excess{}, excess_cold{};
    double overload_seconds{};
    double imbalance{};         // max over mean of requests served per upstream
    double full_capacity_s{-1}; // from cold_at until all upstreams are warm and at their full limit
    double recovery_s{-1};      // from the end of the outage until 95% of requests are served
    double goodput() const
    {
        return offered == 0 ? 0 : static_cast<double>(in_time) / static_cast<double>(offered);
    }
    bool operator==(result const&) const = default;
};

} // namespace chivelever::experiment

#endif
