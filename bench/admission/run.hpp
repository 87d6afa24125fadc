// Runs one scenario under one admission policy.
#ifndef CHIVELEVER_BENCH_ADMISSION_RUN_HPP
#define CHIVELEVER_BENCH_ADMISSION_RUN_HPP

#include "policies.hpp"

namespace chivelever::experiment
{

// Requests offered and served per time bucket, to measure the recovery after an outage.
class service_history
{
public:
    static constexpr double bucket_s = 0.1;
    static constexpr std::size_t steady_buckets = 5;

    void offered(double at) { ++bucket(at).first; }
    void served(double at) { ++bucket(at).second; }
    // Time from `from` until at least 95% of the offered requests are served for 0.5 s; -1 if
    // never.
    double recovery(double from) const
    {
        std::size_t steady = 0;
        for (auto b = static_cast<std::size_t>(std::ceil(from / bucket_s)); b < counts_.size(); ++b)
        {
            auto const [o, s] = counts_[b];
            steady = static_cast<double>(s) >= 0.95 * static_cast<double>(o) ? steady + 1 : 0;
            if (steady == steady_buckets)
                return std::max(0.0, static_cast<double>(b + 1 - steady) * bucket_s - from);
        }
        return -1;
    }

private:
    std::pair<std::uint64_t, std::uint64_t>& bucket(double at)
    {
        auto const i = static_cast<std::size_t>(at / bucket_s);
        if (counts_.size() <= i)
            counts_.resize(i + 1);
        return counts_[i];
    }
    std::vector<std::pair<std::uint64_t, std::uint64_t>> counts_;
};

template<class Policy>
class experiment_run
{
public:
    experiment_run(scenario const& s, typename Policy::options options)
        : s_(s), random_(s.seed), start_(loop_.now())
    {
        for (std::uint32_t i = 0; i < s_.upstreams; ++i)
            upstreams_.push_back(std::make_unique<upstream_model>(s_, loop_, random_));
        policy_ = std::make_unique<Policy>(
            policy_context{s_, loop_, random_, upstreams_,
                           [this](std::uint64_t id, packet_status status) { finish(id, status); }},
            options);
    }

    result run()
    {
        schedule_events();
        arrive();
        loop_.run_until(start_ + to_duration(s_.seconds) + s_.deadline * 2);
        std::uint64_t served = 0;
        std::uint64_t max_served = 0;
        for (auto const& u : upstreams_)
        {
            r_.attempts += u->arrived;
            r_.excess += u->excess;
            r_.excess_cold += u->excess_cold;
            r_.overload_seconds += u->overload_seconds();
            served += u->served;
            max_served = std::max(max_served, u->served);
        }
        if (served > 0)
            r_.imbalance =
                static_cast<double>(max_served) * s_.upstreams / static_cast<double>(served);
        if (s_.outage_to > 0)
            r_.recovery_s = history_.recovery(s_.outage_to);
        return r_;
    }

private:
    struct open_request
    {
        time_point sent;
        time_point deadline;
    };

    double elapsed(time_point t) const { return to_seconds(t - start_); }

    void schedule_events()
    {
        if (s_.outage_to > 0)
        {
            loop_.at(start_ + to_duration(s_.outage_from), [this] { set_down(true); });
            loop_.at(start_ + to_duration(s_.outage_to), [this] { set_down(false); });
        }
        if (s_.cold_count > 0)
            loop_.at(start_ + to_duration(s_.cold_at),
                     [this]
                     {
                         for (std::uint32_t i = 0; i < s_.cold_count; ++i)
                             upstreams_[i]->restart();
                     });
        if (s_.cold_count > 0 || s_.start_cold)
            loop_.at(start_ + to_duration(s_.cold_at) + std::chrono::milliseconds(100),
                     [this] { poll_full_capacity(); });
    }

    void set_down(bool down)
    {
        std::uint64_t arrived = 0;
        for (auto const& u : upstreams_)
        {
            arrived += u->arrived;
            u->set_down(down);
            if (!down && s_.start_cold)
                u->restart();
        }
        // The start of the outage stores the count; the end replaces it by the difference.
        r_.outage_attempts = arrived - r_.outage_attempts;
    }

    void poll_full_capacity()
    {
        bool const warm = std::none_of(upstreams_.begin(), upstreams_.end(),
                                       [](auto const& u) { return u->cold(); });
        if (warm && policy_->at_full_capacity())
            r_.full_capacity_s = elapsed(loop_.now()) - s_.cold_at;
        else
            loop_.after(std::chrono::milliseconds(10), [this] { poll_full_capacity(); });
    }

    void arrive()
    {
        double const gap =
            boost::random::exponential_distribution<double>(s_.requests_per_s())(random_);
        loop_.after(to_duration(gap),
                    [this]
                    {
                        if (elapsed(loop_.now()) >= s_.seconds)
                            return;
                        submit();
                        arrive();
                    });
    }

    void submit()
    {
        double const at = elapsed(loop_.now());
        std::uint64_t const id = ++next_;
        ++r_.all_offered;
        r_.offered += at >= s_.measure_from ? 1 : 0;
        r_.outage_offered += at >= s_.outage_from && at < s_.outage_to ? 1 : 0;
        history_.offered(at);
        open_.emplace(id, open_request{loop_.now(), loop_.now() + s_.deadline});
        boost::random::uniform_int_distribution<std::uint32_t> any(0, s_.balancers - 1);
        boost::random::uniform_int_distribution<std::uint32_t> percent(0, 99);
        std::uint32_t const balancer = any(random_);
        bool const idempotent = percent(random_) < s_.idempotent * 100;
        policy_->submit(balancer, id, s_.deadline, idempotent);
    }

    void finish(std::uint64_t id, packet_status status)
    {
        auto const it = open_.find(id);
        if (it == open_.end())
            return;
        bool const in_time = status == packet_status::ok && loop_.now() <= it->second.deadline;
        double const at = elapsed(it->second.sent);
        if (in_time)
            history_.served(at);
        if (at >= s_.measure_from)
        {
            if (in_time)
                ++r_.in_time;
            else if (status == packet_status::not_run_overloaded)
                ++r_.not_run;
            else
                ++r_.lost;
        }
        open_.erase(it);
    }

    scenario s_;
    event_loop loop_;
    random_engine random_;
    time_point start_;
    std::vector<std::unique_ptr<upstream_model>> upstreams_;
    std::unique_ptr<Policy> policy_;
    std::unordered_map<std::uint64_t, open_request> open_;
    service_history history_;
    std::uint64_t next_{};
    result r_;
};

template<class Policy>
result run(scenario const& s, typename Policy::options options = {})
{
    return experiment_run<Policy>(s, options).run();
}

} // namespace chivelever::experiment

#endif
