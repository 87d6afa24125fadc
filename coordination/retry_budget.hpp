// Token bucket that limits retries to a percentage of the offered requests, so that retries cannot
// multiply the load on a failing pool.
#ifndef CHIVELEVER_COORDINATION_RETRY_BUDGET_HPP
#define CHIVELEVER_COORDINATION_RETRY_BUDGET_HPP

#include <algorithm>
#include <cstdint>

namespace chivelever
{

// Tokens are hundredths of a retry, so that percentages accumulate without rounding.
class retry_budget
{
public:
    // Bucket capacity in retries, which bounds the burst after a period without retries. The bucket
    // starts empty, so that the percentage holds from the first request on.
    static constexpr std::int64_t max_burst_retries = 10;

    void set_percent(std::int64_t percent) { percent_ = percent; }
    void on_offered()
    {
        tokens_ = std::min(tokens_ + percent_, max_burst_retries * tokens_per_retry);
    }
    bool try_take()
    {
        if (tokens_ < tokens_per_retry)
            return false;
        tokens_ -= tokens_per_retry;
        return true;
    }

private:
    static constexpr std::int64_t tokens_per_retry = 100;
    std::int64_t percent_{10};
    std::int64_t tokens_{0};
};

} // namespace chivelever

#endif
