// Keeps a few callers from using the capacity of all others while a service is overloaded.
#ifndef CHIVELEVER_ADMISSION_CALLER_SHARE_HPP
#define CHIVELEVER_ADMISSION_CALLER_SHARE_HPP

#include "state/state.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <unordered_map>

namespace chivelever
{

// Counts the recent openings of each caller at this host, for one service and priority. The state
// is bounded: beyond `max_callers`, callers are not tracked and are within their share.
class caller_share
{
public:
    static constexpr std::size_t max_callers = 1024;

    // Records an opening and whether it was admitted.
    void record(std::uint32_t caller, bool admitted, time_point now);
    // Whether the caller has had less than its max-min fair share of the openings admitted here in
    // the last second.
    bool within_share(std::uint32_t caller, time_point now) const;
    std::size_t tracked() const { return callers_.size(); }
    // Removes callers without recent openings.
    void expire(time_point now);

private:
    // Decayed counts of openings.
    struct usage
    {
        double asked{};
        double admitted{};
        time_point at{};
        void decay(time_point now);
        void add(bool was_admitted, time_point now);
    };
    void update_fair_share(time_point now);

    std::unordered_map<std::uint32_t, usage> callers_;
    usage total_; // of all tracked callers
    // Openings per caller and second, as of the latest update.
    double fair_share_{std::numeric_limits<double>::infinity()};
    time_point updated_at_{};
    time_point expired_at_{};
};

} // namespace chivelever

#endif
