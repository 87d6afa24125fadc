// gRPC calls between hosts: configuration, status, the event timeline and planned handovers.
#ifndef CHIVELEVER_TRANSPORT_PEER_RPC_HPP
#define CHIVELEVER_TRANSPORT_PEER_RPC_HPP

#include "state/state.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivelever
{

struct fetch_result
{
    std::vector<std::string> changes; // JSON, revisions since+1, since+2, ...
    std::string snapshot;             // JSON, instead of changes
    std::string host_list;            // JSON; empty if the caller's list is up to date
    hybrid_time clock{};
    bool operator==(fetch_result const&) const = default;
};

struct host_status
{
    host_instance instance;
    zone_id zone;
    revision rev;
    std::uint64_t list_version{};
    host_state state{};
    std::uint64_t violations{};
    std::string detail; // JSON
    hybrid_time clock{};
    auto operator<=>(host_status const&) const = default;
};

// Handlers for the calls of peers. They run on the threads of the gRPC server.
struct peer_handlers
{
    std::function<fetch_result(revision since, std::uint64_t list_version)> fetch;
    std::function<host_status()> status;
    std::function<std::vector<event>(hybrid_time since, std::string const& subject)> timeline;
    std::function<void(pool_handover const&)> handover;
    std::function<hybrid_time(hybrid_time remote)>
        clock; // merges the caller's clock and returns the local one
};

class peer_server
{
public:
    // Throws std::runtime_error if the address is in use.
    peer_server(endpoint local, std::string_view cluster_secret, peer_handlers handlers);
    ~peer_server();
    peer_server(peer_server const&) = delete;
    peer_server& operator=(peer_server const&) = delete;
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

// Client for the calls to other hosts. Channels are reused and disconnect when idle. Thread-safe.
class peer_client
{
public:
    peer_client(std::string_view cluster_secret, std::function<hybrid_time()> now,
                std::function<void(hybrid_time)> observe);
    ~peer_client();
    peer_client(peer_client const&) = delete;
    peer_client& operator=(peer_client const&) = delete;

    std::optional<fetch_result> fetch(endpoint host, revision since, std::uint64_t list_version);
    std::optional<host_status> status(endpoint host);
    std::optional<std::vector<event>> timeline(endpoint host, hybrid_time since,
                                               std::string const& subject);
    bool handover(endpoint host, pool_handover const& message);

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace chivelever

#endif
