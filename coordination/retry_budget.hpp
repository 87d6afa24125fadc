// Token bucket that bounds retries to a share of the requests offered, so that retries cannot
// multiply the load of a failing pool.
#ifndef CHIVELEVER_COORDINATION_RETRY_BUDGET_HPP
#define CHIVELEVER_COORDINATION_RETRY_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace chivelever
{

// Counts in hundredths of a retry, so that a percentage adds up without rounding.
class retry_budget
{
public:
    // Retries that may follow at once after a quiet period. The bucket starts empty, which keeps
    // the share true from the first request on.
    static constexpr std::int64_t burst_retries = 10;

    void set_percent(std::int64_t percent) { percent_ = percent; }
    void on_offered() { tokens_ = std::min(tokens_ + percent_, burst_retries * one_retry); }
    bool take()
    {
        if (tokens_ < one_retry)
            return false;
        tokens_ -= one_retry;
        return true;
    }

private:
    static constexpr std::int64_t one_retry = 100;
    std::int64_t percent_{10};
    std::int64_t tokens_{0};
};

} // namespace chivelever

#endif
