// How a host keeps its address in the store, and when it looks for the others' there. Answers two
// failures: addresses of hosts that are gone for good and pile up in the store (the address hangs
// on a lease that its host renews), and a fleet that was parted for longer than hosts remember each
// other (each reads the directory again in that time).
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

// The address of a host that is gone stays for this long at most, and others try to reach it.
inline constexpr duration directory_lease_time = std::chrono::minutes(2);

class host_directory
{
public:
    explicit host_directory(std::uint64_t seed) : random_(seed) {}

    directory_step next(time_point now) const;
    // When `next` has something to do.
    time_point due() const;
    store_lease lease() const { return lease_; }
    // Whether the address is stored and the others' were read at least once.
    bool complete() const { return written_ && read_once_; }

    // Outcomes of the steps. A step that failed is tried again later, the others meanwhile.
    void on_directory(bool own_address_listed, time_point now);
    void on_lease(store_lease lease, time_point now);
    void on_written();
    // The lease has ended, or never was: a new one, and the address again, after a pause.
    void on_lease_ended(time_point now);
    void on_renewed(time_point now);
    void on_failure(directory_step step, time_point now);

private:
    // When the next write or renewal is due.
    time_point write_due() const;

    std::minstd_rand random_;
    store_lease lease_;
    bool written_{};
    bool read_once_{};
    time_point read_at_{};
    time_point renew_at_{};
    time_point write_not_before_{};
};

} // namespace chivelever

#endif
