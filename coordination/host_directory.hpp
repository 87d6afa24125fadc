// Keeps the addresses of a few hosts of each zone in the store, so that a host finds the fleet when
// its seeds are gone, and schedules reads of these addresses. Handles two failures: addresses of
// terminated hosts accumulate in the store (each address is bound to a lease that its host renews),
// and a fleet is partitioned for longer than hosts keep silent peers (the listed hosts and those
// that hear nobody reread the directory within that time). A restore of the store from a backup
// removes lease and address, and the lease's id may be granted to another holder, so both belong to
// the era of the store in which the lease was granted.
#ifndef CHIVELEVER_COORDINATION_HOST_DIRECTORY_HPP
#define CHIVELEVER_COORDINATION_HOST_DIRECTORY_HPP

#include "state/state.hpp"

#include <cstddef>
#include <cstdint>
#include <random>

namespace chivelever
{

enum class directory_step : std::uint8_t
{
    wait,
    read_directory,
    request_lease,
    write_address,
    renew_lease
};

// Upper bound on how long the address of a terminated host stays in the store; until then, other
// hosts try to reach it.
inline constexpr duration directory_lease_time = std::chrono::minutes(2);

class host_directory
{
public:
    explicit host_directory(std::uint64_t seed) : random_(seed) {}

    // `rank` is the position of this host among those of its zone; `hears_others` is false if no
    // other host is heard. Call it before `next`.
    void update(std::size_t rank, bool hears_others, time_point now);
    directory_step next(time_point now) const;
    // The time at which `next` returns a step other than wait.
    time_point due() const;
    store_lease lease() const { return lease_; }
    // Whether the directory has been read, and the address is stored if it should be.
    bool complete() const { return has_read_ && (written_ || !listed_); }
    bool listed() const { return listed_; }

    // A response of the store states this era. Ends the lease if it was granted in another one.
    void on_store_era(std::uint64_t era);
    // Outcomes of the steps; `era` is the one that the response states. A failed step is retried
    // later and does not block the others.
    void on_directory(bool own_address_listed, time_point now);
    void on_lease(store_lease lease, time_point now, std::uint64_t era = 0);
    void on_written(std::uint64_t era = 0);
    // The lease has ended or was never granted: requests a new lease and rewrites the address after
    // a delay.
    void on_lease_ended(time_point now);
    void on_renewed(time_point now, std::uint64_t era = 0);
    void on_failure(directory_step step, time_point now);

private:
    // Time of the next write or renewal.
    time_point next_write_at() const;
    time_point next_read_at() const;

    std::minstd_rand random_;
    store_lease lease_;
    std::uint64_t lease_era_{}; // in which the lease was granted
    bool listed_{};             // this host's address should be stored
    bool alone_{};
    time_point settled_at_{};
    bool written_{};
    bool has_read_{};
    time_point read_at_{};
    time_point last_read_at_{};
    time_point renew_at_{};
    time_point write_not_before_{};
};

} // namespace chivelever

#endif
