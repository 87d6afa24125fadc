// Forwards UDP and TCP between zones to simulate partitions: a blocked direction drops datagrams
// and closes connections.
#include "standins/common_http.hpp"

#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <sstream>
#include <unordered_map>

namespace
{

using namespace chivelever;
using namespace chivelever::standins;
using asio::ip::tcp;

constexpr std::size_t tcp_buffer_bytes = 64 << 10;
constexpr int zone_shift = 8; // hosts have addresses 127.DEPLOYMENT.ZONE.HOST

using zone = unsigned;
constexpr zone by_source_address = 0;

// Blocked directions between zones.
class partition
{
public:
    void set(zone from, zone to, bool cut)
    {
        if (cut)
            blocked_.insert({from, to});
        else
            blocked_.erase({from, to});
    }
    bool allows(zone from, zone to) const { return !blocked_.contains({from, to}); }
    json::array report() const
    {
        json::array pairs;
        for (auto const& [from, to] : blocked_)
            pairs.push_back(json::array{from, to});
        return pairs;
    }

private:
    std::set<std::pair<zone, zone>> blocked_;
};

struct counters
{
    std::uint64_t udp_passed{}, udp_cut{}, tcp_opened{}, tcp_cut{};
};

// One listening port. If `from` is 0, the sender's address determines its zone.
struct mapping
{
    bool udp{};
    zone from{};
    zone to{};
    endpoint listen;
    endpoint target;
};

// Forwards the datagrams of one port. Each sender has its own socket, so that answers can be
// returned to it.
class udp_relay
{
public:
    udp_relay(asio::io_context& io, mapping const& m, partition const& zone_partition,
              counters& count)
        : io_(io), map_(m), partition_(zone_partition), count_(count),
          socket_(io, m.listen,
                  [this](endpoint from, std::string_view bytes) { forward_to_target(from, bytes); })
    {
    }

private:
    zone zone_of(endpoint sender) const
    {
        return map_.from != by_source_address ? map_.from : sender.address >> zone_shift & 0xff;
    }

    void forward_to_target(endpoint sender, std::string_view bytes)
    {
        if (!pass(zone_of(sender), map_.to))
            return;
        auto& return_socket = return_sockets_[sender.packed()];
        if (!return_socket)
            return_socket =
                std::make_unique<udp_socket>(io_, endpoint{map_.listen.address, 0},
                                             [this, sender](endpoint, std::string_view answer)
                                             {
                                                 if (pass(map_.to, zone_of(sender)))
                                                     socket_.send(sender, answer);
                                             });
        return_socket->send(map_.target, bytes);
    }

    bool pass(zone from, zone to)
    {
        bool const allows = from == to || partition_.allows(from, to);
        ++(allows ? count_.udp_passed : count_.udp_cut);
        return allows;
    }

    asio::io_context& io_;
    mapping map_;
    partition const& partition_;
    counters& count_;
    udp_socket socket_;
    std::unordered_map<std::uint64_t, std::unique_ptr<udp_socket>> return_sockets_;
};

// One forwarded connection, closed at the next data in a blocked direction.
class tcp_pair : public std::enable_shared_from_this<tcp_pair>
{
public:
    tcp_pair(tcp::socket client, asio::io_context& io, mapping const& m,
             partition const& zone_partition, counters& count)
        : client_(std::move(client)), server_(io), map_(m), partition_(zone_partition),
          count_(count)
    {
    }

    void start()
    {
        server_.async_connect(
            {asio::ip::address_v4(map_.target.address), map_.target.port},
            [self = shared_from_this()](boost::system::error_code const& error)
            {
                if (error)
                    return;
                self->forward(self->client_, self->server_, self->to_server_buffer_, true);
                self->forward(self->server_, self->client_, self->to_client_buffer_, false);
            });
    }

private:
    using buffer = std::array<char, tcp_buffer_bytes>;

    bool is_allowed(bool to_server) const
    {
        return to_server ? partition_.allows(map_.from, map_.to)
                         : partition_.allows(map_.to, map_.from);
    }

    void forward(tcp::socket& in, tcp::socket& forward_to_target, buffer& bytes, bool to_server)
    {
        in.async_read_some(asio::buffer(bytes),
                           [self = shared_from_this(), &in, &forward_to_target, &bytes,
                            to_server](boost::system::error_code const& error, std::size_t size)
                           {
                               if (error)
                                   return self->close();
                               if (!self->is_allowed(to_server))
                               {
                                   ++self->count_.tcp_cut;
                                   return self->close();
                               }
                               asio::async_write(
                                   forward_to_target, asio::buffer(bytes, size),
                                   [self, &in, &forward_to_target, &bytes, to_server](
                                       boost::system::error_code const& failed, std::size_t) {
                                       failed
                                           ? self->close()
                                           : self->forward(in, forward_to_target, bytes, to_server);
                                   });
                           });
    }

    void close()
    {
        boost::system::error_code ignored;
        client_.close(ignored);
        server_.close(ignored);
    }

    tcp::socket client_;
    tcp::socket server_;
    mapping map_;
    partition const& partition_;
    counters& count_;
    buffer to_server_buffer_{};
    buffer to_client_buffer_{};
};

class tcp_relay
{
public:
    tcp_relay(asio::io_context& io, mapping const& m, partition const& zone_partition,
              counters& count)
        : io_(io), map_(m), partition_(zone_partition), count_(count),
          acceptor_(io, {asio::ip::address_v4(m.listen.address), m.listen.port}, true)
    {
        accept();
    }

private:
    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code const& error, tcp::socket socket)
            {
                if (error == asio::error::operation_aborted)
                    return;
                bool const allows =
                    partition_.allows(map_.from, map_.to) && partition_.allows(map_.to, map_.from);
                ++(allows ? count_.tcp_opened : count_.tcp_cut);
                if (!error && allows)
                    std::make_shared<tcp_pair>(std::move(socket), io_, map_, partition_, count_)
                        ->start();
                accept();
            });
    }

    asio::io_context& io_;
    mapping map_;
    partition const& partition_;
    counters& count_;
    tcp::acceptor acceptor_;
};

// "udp|tcp,FROM_ZONE,TO_ZONE,LISTEN_IP:PORT,TARGET_IP:PORT"
mapping parse_mapping(std::string const& text)
{
    auto const p = split(text, ',');
    if (p.size() != 5 || (p[0] != "udp" && p[0] != "tcp"))
    {
        std::cerr << "--map: expected PROTOCOL,FROM,TO,LISTEN,TARGET: " << text << "\n";
        std::exit(2);
    }
    return {p[0] == "udp", static_cast<zone>(parse_number(p[1]).value_or(0)),
            static_cast<zone>(parse_number(p[2]).value_or(0)), require_endpoint(p[3], "--map"),
            require_endpoint(p[4], "--map")};
}

// {"cut": ZONE, "zones": [..], "direction": "both"|"out"|"in"} or "heal" instead of "cut":
// blocks or unblocks traffic between a zone and the listed zones.
http_reply control(partition& zone_partition, json::object const& command)
{
    auto const* const cut = command.if_contains("cut");
    auto const* const heal = command.if_contains("heal");
    auto const* const zones = command.if_contains("zones");
    auto const* const subject = cut != nullptr ? cut : heal;
    if (subject == nullptr || !subject->is_int64() || zones == nullptr || !zones->is_array())
        return {400, "{\"error\":\"cut or heal, and zones are required\"}"};
    std::string direction = "both";
    if (auto const* const d = command.if_contains("direction"); d != nullptr && d->is_string())
        direction = std::string(d->as_string());
    zone const subject_zone = static_cast<zone>(subject->as_int64());
    for (json::value const& item : zones->as_array())
    {
        zone const peer_zone = static_cast<zone>(item.to_number<std::int64_t>());
        if (peer_zone == subject_zone)
            continue;
        if (direction != "in")
            zone_partition.set(subject_zone, peer_zone, cut != nullptr);
        if (direction != "out")
            zone_partition.set(peer_zone, subject_zone, cut != nullptr);
    }
    return {200, json::serialize(zone_partition.report())};
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("Relay between zones");
    description.add_options()(
        "map", options::value<std::vector<std::string>>()->default_value({}, ""),
        "udp|tcp,FROM_ZONE,TO_ZONE,LISTEN,TARGET; repeatable; FROM_ZONE 0 (UDP): "
        "the third byte of the sender's address")("file", options::value<std::string>(),
                                                  "JSON array of mappings in the same format")(
        "control", options::value<std::string>()->required(),
        "ip:port (HTTP): POST /control, GET /stats");
    options::variables_map values;
    if (!parse_options(argc, argv, description, values))
        return 0;
    auto maps = values["map"].as<std::vector<std::string>>();
    if (values.count("file") != 0)
    {
        std::ostringstream text;
        text << std::ifstream(values["file"].as<std::string>()).rdbuf();
        for (auto& item : json::value_to<std::vector<std::string>>(json::parse(text.str())))
            maps.push_back(std::move(item));
    }
    asio::io_context io(1);
    partition zone_partition;
    counters count;
    std::vector<std::unique_ptr<udp_relay>> udp;
    std::vector<std::unique_ptr<tcp_relay>> tcp;
    for (std::string const& text : maps)
    {
        mapping const m = parse_mapping(text);
        if (m.udp)
            udp.push_back(std::make_unique<udp_relay>(io, m, zone_partition, count));
        else
            tcp.push_back(std::make_unique<tcp_relay>(io, m, zone_partition, count));
    }
    serve_http(io, require_endpoint(values["control"].as<std::string>(), "--control"),
               [&](http_call const& call, http_responder const& respond)
               {
                   if (call.path == "/control" && call.method == "POST")
                       return respond(control(zone_partition, parse_object(call.body)));
                   respond({200, json::serialize(json::object{{"cut", zone_partition.report()},
                                                              {"udp_passed", count.udp_passed},
                                                              {"udp_cut", count.udp_cut},
                                                              {"tcp_opened", count.tcp_opened},
                                                              {"tcp_cut", count.tcp_cut}})});
               });
    std::cout << "relay ready" << std::endl;
    run_until_stopped(io, values);
    return 0;
}
