#include "coordination/host_directory.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Hosts forget each other after 30 s of silence: after a cut of any length they find each other
// again within this time. A reading may be stale and costs a tenth of a call. Up to half of the
// period more at random, so that hosts which started together do not read together.
constexpr duration read_period = 30s;
// Two renewals may fail before the lease ends.
constexpr duration renew_period = directory_lease_time / 3;
// The store turns some hosts away for seconds; the seeds and other hosts bridge that time.
constexpr duration retry_period = 2s;

} // namespace

time_point host_directory::write_due() const
{
    return written_ ? std::max(renew_at_, write_not_before_) : write_not_before_;
}

time_point host_directory::due() const
{
    return std::min(read_at_, write_due());
}

directory_step host_directory::next(time_point now) const
{
    if (read_at_ <= now)
        return directory_step::read_directory;
    if (write_due() > now)
        return directory_step::wait;
    if (written_)
        return directory_step::renew_lease;
    return lease_.value == 0 ? directory_step::request_lease : directory_step::write_address;
}

void host_directory::on_directory(bool own_address_listed, time_point now)
{
    // A stale reading may miss an address that was just written: only a later one counts.
    if (read_once_ && written_ && !own_address_listed)
        on_lease_ended(now);
    read_once_ = true;
    auto const half = static_cast<std::uint64_t>(read_period.count() / 2);
    read_at_ = now + read_period + duration(static_cast<duration::rep>(random_() % half));
}

void host_directory::on_lease(store_lease lease, time_point now)
{
    lease_ = lease;
    renew_at_ = now + renew_period;
}

void host_directory::on_written()
{
    written_ = true;
}

void host_directory::on_lease_ended(time_point now)
{
    lease_ = {};
    written_ = false;
    write_not_before_ = now + retry_period;
}

void host_directory::on_renewed(time_point now)
{
    renew_at_ = now + renew_period;
}

void host_directory::on_failure(directory_step step, time_point now)
{
    if (step == directory_step::read_directory)
        read_at_ = now + retry_period;
    else
        write_not_before_ = now + retry_period;
}

} // namespace chivelever
