// Clients of the platform's key-value service.
#ifndef CHIVELEVER_TRANSPORT_STORE_CLIENT_HPP
#define CHIVELEVER_TRANSPORT_STORE_CLIENT_HPP

#include "coordination/coordination.hpp"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>

namespace chivelever
{

// Client for the platform's HTTP key-value API: GET and PUT of /v1/kv/KEY, with `cas` for
// compare-and-swap, and `index` and `wait` for watches.
class http_store
{
public:
    explicit http_store(endpoint server) : server_(server) {}

    store_value get(std::string const& key);
    store_value compare_and_swap(std::string const& key, std::string const& value,
                                 std::uint64_t expected);
    store_value watch(std::string const& key, std::uint64_t index, duration wait);
    std::uint64_t calls() const { return calls_; }
    // Cancels the calls in progress and all later ones, so that a shutdown does not wait for a
    // watch.
    void cancel() { cancelled_ = true; }

private:
    store_value read(std::string const& target, duration timeout);

    endpoint server_;
    std::atomic<std::uint64_t> calls_{0};
    std::atomic<bool> cancelled_{false};
};
static_assert(platform_store<http_store>);

// In-memory store for evaluation on a single host. Its contents are lost when the process exits.
class memory_store
{
public:
    store_value get(std::string const& key);
    store_value compare_and_swap(std::string const& key, std::string const& value,
                                 std::uint64_t expected);
    store_value watch(std::string const& key, std::uint64_t index, duration wait);
    std::uint64_t calls() const { return calls_; }
    void cancel();

private:
    store_value read(std::string const& key) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, store_value> values_;
    std::uint64_t index_{0};
    bool cancelled_{false};
    std::atomic<std::uint64_t> calls_{0};
};
static_assert(platform_store<memory_store>);

} // namespace chivelever

#endif
