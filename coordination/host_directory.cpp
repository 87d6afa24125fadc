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
// Hosts of each zone whose addresses are stored. One stays listed until it is well behind, so that
// hosts that come and go do not make others write.
constexpr std::size_t listed_per_zone = 3;
constexpr std::size_t kept_per_zone = 6;
// A host that has just started does not know its zone yet and would take itself for the first.
constexpr duration settling_time = 2s;
// The store may refuse some hosts for seconds; seed hosts and known peers suffice in the meantime.
constexpr duration retry_delay = 2s;

} // namespace

void host_directory::update(std::size_t rank, bool hears_others, time_point now)
{
    if (settled_at_ == time_point{})
        settled_at_ = now + settling_time;
    alone_ = !hears_others;
    if (now >= settled_at_)
        listed_ = rank < (listed_ ? kept_per_zone : listed_per_zone);
    if (!listed_ && written_ && now > renew_at_ + directory_lease_time)
    {
        written_ = false; // the lease has ended without a renewal
        lease_ = {};
    }
}

time_point host_directory::next_read_at() const
{
    if (alone_)
        return std::min(read_at_, last_read_at_ + retry_delay);
    return !has_read_ || listed_ ? read_at_ : time_point::max();
}

time_point host_directory::next_write_at() const
{
    if (!listed_)
        return time_point::max();
    return written_ ? std::max(renew_at_, write_not_before_) : write_not_before_;
}

time_point host_directory::due() const
{
    return std::min(next_read_at(), next_write_at());
}

directory_step host_directory::next(time_point now) const
{
    if (next_read_at() <= now)
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
    last_read_at_ = now;
    read_at_ = now + read_period + duration(static_cast<duration::rep>(random_() % half));
}

void host_directory::on_store_era(std::uint64_t era)
{
    if (era == lease_era_)
        return;
    lease_era_ = era;
    lease_ = {};
    written_ = false;
}

void host_directory::on_lease(store_lease lease, time_point now, std::uint64_t era)
{
    lease_era_ = era;
    lease_ = lease;
    renew_at_ = now + renew_period;
}

void host_directory::on_written(std::uint64_t era)
{
    // Under the same id, the address may have been stored under the lease of another holder.
    bool const own_lease = era == lease_era_;
    on_store_era(era);
    written_ = own_lease;
}

void host_directory::on_lease_ended(time_point now)
{
    lease_ = {};
    written_ = false;
    write_not_before_ = now + retry_delay;
}

void host_directory::on_renewed(time_point now, std::uint64_t era)
{
    on_store_era(era);
    renew_at_ = now + renew_period;
}

void host_directory::on_failure(directory_step step, time_point now)
{
    if (step == directory_step::read_directory)
    {
        last_read_at_ = now;
        read_at_ = now + retry_delay;
    }
    else
        write_not_before_ = now + retry_delay;
}

} // namespace chivelever
