// Simulated network fabric: sets the caller's address in each packet and sends each packet to a
// random balancer that reports ready. Answers bypass the fabric.
#include "protocol/protocol.hpp"
#include "standins/common_http.hpp"

#include <atomic>
#include <deque>
#include <iostream>
#include <memory>
#include <random>
#include <thread>

namespace
{

using namespace chivelever;
using namespace chivelever::standins;

constexpr auto poll_interval = milliseconds(200);
constexpr auto poll_timeout =
    milliseconds(300); // timeout after which a suspended balancer is not ready
constexpr auto reorder_delay = milliseconds(5);

struct balancer
{
    endpoint packet;
    endpoint admin;
    std::atomic<bool> ready{false};
    std::uint64_t sent{};
};

// Polls /readyz of each balancer on a separate thread, so that polling does not delay packets.
class readiness
{
public:
    explicit readiness(std::deque<balancer>& all) : all_(all) {}
    ~readiness()
    {
        io_.stop();
        if (thread_.joinable())
            thread_.join();
    }
    void start()
    {
        for (balancer& b : all_)
            if (b.admin.is_set())
                poll(b);
        thread_ = std::thread([this] { io_.run(); });
    }

private:
    void poll(balancer& b)
    {
        fetch_http(io_, b.admin, "/readyz", poll_timeout,
                   [this, &b](unsigned status, std::string const&)
                   {
                       b.ready.store(status == 200, std::memory_order_relaxed);
                       timers_.after(poll_interval, [this, &b] { poll(b); });
                   });
    }

    std::deque<balancer>& all_;
    asio::io_context io_{1};
    timer_queue timers_{io_};
    std::thread thread_;
};

struct faults
{
    double loss{};
    double duplication{};
    double reordering{};
};

class fabric
{
public:
    fabric(asio::io_context& io, std::deque<balancer>& all, faults f, std::uint64_t seed)
        : timers_(io), all_(all), faults_(f), random_(seed)
    {
    }

    void listen(asio::io_context& io, endpoint address)
    {
        socket_ = std::make_unique<udp_socket>(
            io, address, [this](endpoint from, std::string_view bytes) { handle(from, bytes); });
    }

    // {"loss": SHARE, "double": SHARE, "reorder": SHARE}; omitted shares are unchanged.
    http_reply control(json::object const& command)
    {
        for (auto const& [name, value] : command)
        {
            double* const share = name == "loss"      ? &faults_.loss
                                  : name == "double"  ? &faults_.duplication
                                  : name == "reorder" ? &faults_.reordering
                                                      : nullptr;
            double const requested = value.is_number() ? value.to_number<double>() : -1;
            if (share == nullptr || requested < 0 || requested > 1)
                return {400, "{\"error\":\"unknown fault or share outside 0 to 1\"}"};
            *share = requested;
        }
        return {200, json::serialize(report())};
    }

    json::object report() const
    {
        json::object spread;
        for (balancer const& b : all_)
            spread[to_string(b.packet)] = json::object{{"live", b.ready.load()}, {"sent", b.sent}};
        return {{"received", received_},
                {"undecodable", undecodable_},
                {"no_balancer", no_balancer_},
                {"lost", lost_},
                {"doubled", duplicated_},
                {"reordered", reordered_},
                {"buffer_drops", socket_->receive_drops()},
                {"send_failures", socket_->send_failures()},
                {"balancers", spread}};
    }

private:
    bool chance(double p) { return p > 0 && std::bernoulli_distribution(p)(random_); }

    void handle(endpoint from, std::string_view bytes)
    {
        ++received_;
        auto packet = codec_.decode(bytes);
        if (!packet)
        {
            ++undecodable_;
            return;
        }
        packet->caller = from;
        packet->hops = 0; // a caller must not impersonate a host
        std::string_view const encoded = codec_.encode(*packet);
        if (chance(faults_.loss))
        {
            ++lost_;
            return;
        }
        if (chance(faults_.duplication))
        {
            ++duplicated_;
            send_to_random_balancer(encoded);
        }
        if (chance(faults_.reordering))
        {
            ++reordered_;
            timers_.after(reorder_delay,
                          [this, copy = std::string(encoded)] { send_to_random_balancer(copy); });
            return;
        }
        send_to_random_balancer(encoded);
    }

    void send_to_random_balancer(std::string_view bytes)
    {
        ready_balancers_.clear();
        for (balancer& b : all_)
            if (b.ready.load(std::memory_order_relaxed))
                ready_balancers_.push_back(&b);
        if (ready_balancers_.empty())
        {
            ++no_balancer_;
            return;
        }
        balancer& target = *ready_balancers_[std::uniform_int_distribution<std::size_t>(
            0, ready_balancers_.size() - 1)(random_)];
        ++target.sent;
        socket_->send(target.packet, bytes);
    }

    timer_queue timers_;
    std::deque<balancer>& all_;
    faults faults_;
    std::mt19937_64 random_;
    packet_codec codec_;
    std::unique_ptr<udp_socket> socket_;
    std::vector<balancer*> ready_balancers_;
    std::uint64_t received_{};
    std::uint64_t undecodable_{};
    std::uint64_t no_balancer_{};
    std::uint64_t lost_{};
    std::uint64_t duplicated_{};
    std::uint64_t reordered_{};
};

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("Simulated network fabric");
    auto const share = [] { return options::value<double>()->default_value(0); };
    description.add_options()("listen", options::value<std::string>()->required(), "ip:port (UDP)")(
        "control", options::value<std::string>(), "ip:port (HTTP): POST /control, GET /report")(
        "balancer", options::value<std::vector<std::string>>()->required(),
        "PACKET_IP:PORT,ADMIN_IP:PORT; repeatable. Always ready without an admin address")(
        "loss", share(), "share of packets lost")("double", share(), "share of packets duplicated")(
        "reorder", share(), "share of packets delayed by 5 ms")(
        "seed", options::value<std::uint64_t>()->default_value(1), "seed of all random choices");
    options::variables_map values;
    if (!parse_options(argc, argv, description, values))
        return 0;

    std::deque<balancer> all; // a deque, because atomics are not movable
    for (std::string const& item : values["balancer"].as<std::vector<std::string>>())
    {
        auto const parts = split(item, ',');
        balancer& b = all.emplace_back();
        b.packet = require_endpoint(parts.front(), "--balancer");
        if (parts.size() > 1)
            b.admin = require_endpoint(parts.back(), "--balancer");
        else
            b.ready = true;
    }
    asio::io_context io(1);
    fabric fabric_instance(io, all,
                           {values["loss"].as<double>(), values["double"].as<double>(),
                            values["reorder"].as<double>()},
                           values["seed"].as<std::uint64_t>());
    fabric_instance.listen(io, require_endpoint(values["listen"].as<std::string>(), "--listen"));
    if (values.count("control") != 0)
        serve_http(io, require_endpoint(values["control"].as<std::string>(), "--control"),
                   [&fabric_instance](http_call const& call, http_responder const& respond)
                   {
                       bool const command = call.path == "/control" && call.method == "POST";
                       respond(command
                                   ? fabric_instance.control(parse_object(call.body))
                                   : http_reply{200, json::serialize(fabric_instance.report())});
                   });
    readiness ready(all);
    ready.start();
    std::cout << "fabric ready" << std::endl;
    run_until_stopped(io, values);
    std::cout << json::serialize(fabric_instance.report()) << std::endl;
    return 0;
}
