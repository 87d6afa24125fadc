// Keeps the address of this host in the store and schedules reads of the other addresses. Handles
// two failures: addresses of terminated hosts accumulate in the store (each address is bound to a
// lease that its host renews), and a fleet is partitioned for longer than hosts keep silent peers
// (each host rereads the directory within that time).
#ifndef CHIVELEVER_COORDINATION_HOST_DIRECTORY_HPP
#define CHIVELEVER_COORDINATION_HOST_DIRECTORY_HPP

#include "state/state.hpp"

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

    directory_step next(time_point now) const;
    // The time at which `next` returns a step other than wait.
    time_point due() const;
    store_lease lease() const { return lease_; }
    // Whether the address is stored and the directory has been read at least once.
    bool complete() const { return written_ && has_read_; }

    // Outcomes of the steps. A failed step is retried later and does not block the others.
    void on_directory(bool own_address_listed, time_point now);
    void on_lease(store_lease lease, time_point now);
    void on_written();
    // The lease has ended or was never granted: requests a new lease and rewrites the address after
    // a delay.
    void on_lease_ended(time_point now);
    void on_renewed(time_point now);
    void on_failure(directory_step step, time_point now);

private:
    // Time of the next write or renewal.
    time_point next_write_at() const;

    std::minstd_rand random_;
    store_lease lease_;
    bool written_{};
    bool has_read_{};
    time_point read_at_{};
    time_point renew_at_{};
    time_point write_not_before_{};
};

} // namespace chivelever

#endif
