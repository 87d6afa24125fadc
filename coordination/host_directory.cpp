#include "coordination/host_directory.hpp"

#include <algorithm>

namespace chivelever
{

namespace
{

using namespace std::chrono_literals;

// Hosts drop a peer after 30 s of silence, so after a partition of any length they find each other
// again within about this time. A read that may be stale suffices and costs a tenth of a consistent
// one. Up to half of the period is added at random, so that hosts started together do not read
// together.
constexpr duration read_period = 30s;
// The lease survives two failed renewals.
constexpr duration renew_period = directory_lease_time / 3;
// The store may refuse some hosts for seconds; seed hosts and known peers suffice in the meantime.
constexpr duration retry_delay = 2s;

} // namespace

time_point host_directory::next_write_at() const
{
    return written_ ? std::max(renew_at_, write_not_before_) : write_not_before_;
}

time_point host_directory::due() const
{
    return std::min(read_at_, next_write_at());
}

directory_step host_directory::next(time_point now) const
{
    if (read_at_ <= now)
        return directory_step::read_directory;
    if (next_write_at() > now)
        return directory_step::wait;
    if (written_)
        return directory_step::renew_lease;
    return lease_.value == 0 ? directory_step::request_lease : directory_step::write_address;
}

void host_directory::on_directory(bool own_address_listed, time_point now)
{
    // A stale read may miss an address that was just written, so the first read is not evaluated.
    if (has_read_ && written_ && !own_address_listed)
        on_lease_ended(now);
    has_read_ = true;
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
    write_not_before_ = now + retry_delay;
}

void host_directory::on_renewed(time_point now)
{
    renew_at_ = now + renew_period;
}

void host_directory::on_failure(directory_step step, time_point now)
{
    if (step == directory_step::read_directory)
        read_at_ = now + retry_delay;
    else
        write_not_before_ = now + retry_delay;
}

} // namespace chivelever
