// Shared by all callers: sockets to the fabric, matching of answers by request id or flow id, and
// opening of flows.
#ifndef CHIVELEVER_STANDINS_COMMON_CALLER_HPP
#define CHIVELEVER_STANDINS_COMMON_CALLER_HPP

#include "protocol/protocol.hpp"
#include "standins/common.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chivelever::standins
{

std::string_view to_text(packet_status status);

// Counts by name, for the summary.
using counter_map = std::map<std::string, std::uint64_t>;
json::object to_json(counter_map const& counts);

class caller_port
{
public:
    using handler = std::function<void(packet_view const&)>;

    caller_port(asio::io_context& io, timer_queue& timers, endpoint fabric, endpoint local,
                std::size_t sockets, std::uint64_t seed);

    // Generates flow ids instead of opening flows, so that a caller can run against one upstream
    // without balancers.
    void use_synthetic_flow_ids() { synthetic_flow_ids_ = true; }

    timer_queue& timers() { return timers_; }
    // Unique in this process, and unlikely to repeat in another because of the seed.
    std::uint64_t next_id() { return next_id_++; }
    std::size_t next_socket() { return next_socket_++ % sockets_.size(); }
    void send(std::size_t socket, packet_view const& p);
    void on_request(std::uint64_t id, handler h) { by_request_[id] = std::move(h); }
    void forget_request(std::uint64_t id) { by_request_.erase(id); }
    void on_flow(std::string const& id, handler h) { by_flow_[id] = std::move(h); }
    void forget_flow(std::string const& id) { by_flow_.erase(id); }

    using opened = std::function<void(std::string flow_id, packet_status status)>;
    // Retries until a flow is open or the limit has passed; in the latter case the id is empty.
    void open(service_id service, flow_kind kind, std::size_t socket, steady::duration limit,
              opened done);
    void close(std::size_t socket, service_id service, flow_kind kind, std::string const& flow_id);

    json::object report() const;

private:
    struct open_attempt
    {
        service_id service;
        flow_kind kind{};
        std::size_t socket{};
        steady::time_point limit;
        std::uint64_t id{};
        packet_status status{};
        opened done;
        timer_queue::handle retry;
    };

    void receive(std::size_t socket, std::string_view bytes);
    void send_open(std::shared_ptr<open_attempt> const& o);
    void on_open_answer(std::shared_ptr<open_attempt> const& o, packet_view const& p);

    timer_queue& timers_;
    endpoint fabric_;
    std::vector<std::unique_ptr<udp_socket>> sockets_;
    packet_codec in_;
    packet_codec out_;
    std::unordered_map<std::uint64_t, handler> by_request_;
    std::unordered_map<std::string, handler> by_flow_;
    std::uint64_t next_id_;
    std::size_t next_socket_{};
    bool synthetic_flow_ids_{};
    counter_map counts_;
    counter_map open_refusals_;
};

} // namespace chivelever::standins

#endif
