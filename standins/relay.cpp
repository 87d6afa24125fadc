// Forwards UDP and TCP between zones, so that a partition can be played: a cut direction loses
// datagrams and closes connections.
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

// Which directions between zones are cut.
class partition
{
public:
    void set(zone from, zone to, bool cut)
    {
        if (cut)
            cut_.insert({from, to});
        else
            cut_.erase({from, to});
    }
    bool passes(zone from, zone to) const { return !cut_.contains({from, to}); }
    json::array report() const
    {
        json::array pairs;
        for (auto const& [from, to] : cut_)
            pairs.push_back(json::array{from, to});
        return pairs;
    }

private:
    std::set<std::pair<zone, zone>> cut_;
};

struct counters
{
    std::uint64_t udp_passed{}, udp_cut{}, tcp_opened{}, tcp_cut{};
};

// One listening port. Zone 0 as `from` means that the sender's address tells its zone.
struct mapping
{
    bool udp{};
    zone from{};
    zone to{};
    endpoint listen;
    endpoint target;
};

// Forwards the datagrams of one port; each sender gets a socket of its own, so that answers find
// the way back to it.
class udp_relay
{
public:
    udp_relay(asio::io_context& io, mapping const& m, partition const& cuts, counters& count)
        : io_(io), map_(m), cuts_(cuts), count_(count),
          socket_(io, m.listen, [this](endpoint from, std::string_view bytes) { out(from, bytes); })
    {
    }

private:
    zone zone_of(endpoint sender) const
    {
        return map_.from != by_source_address ? map_.from : sender.address >> zone_shift & 0xff;
    }

    void out(endpoint sender, std::string_view bytes)
    {
        if (!pass(zone_of(sender), map_.to))
            return;
        auto& way = ways_[sender.packed()];
        if (!way)
            way = std::make_unique<udp_socket>(io_, endpoint{map_.listen.address, 0},
                                               [this, sender](endpoint, std::string_view answer)
                                               {
                                                   if (pass(map_.to, zone_of(sender)))
                                                       socket_.send(sender, answer);
                                               });
        way->send(map_.target, bytes);
    }

    bool pass(zone from, zone to)
    {
        bool const passes = from == to || cuts_.passes(from, to);
        ++(passes ? count_.udp_passed : count_.udp_cut);
        return passes;
    }

    asio::io_context& io_;
    mapping map_;
    partition const& cuts_;
    counters& count_;
    udp_socket socket_;
    std::unordered_map<std::uint64_t, std::unique_ptr<udp_socket>> ways_;
};

// One forwarded connection. A cut of either direction closes it at its next bytes.
class tcp_pair : public std::enable_shared_from_this<tcp_pair>
{
public:
    tcp_pair(tcp::socket near, asio::io_context& io, mapping const& m, partition const& cuts,
             counters& count)
        : near_(std::move(near)), far_(io), map_(m), cuts_(cuts), count_(count)
    {
    }

    void start()
    {
        far_.async_connect({asio::ip::address_v4(map_.target.address), map_.target.port},
                           [self = shared_from_this()](boost::system::error_code const& error)
                           {
                               if (error)
                                   return;
                               self->copy(self->near_, self->far_, self->up_, true);
                               self->copy(self->far_, self->near_, self->down_, false);
                           });
    }

private:
    using buffer = std::array<char, tcp_buffer_bytes>;

    bool open(bool upwards) const
    {
        return upwards ? cuts_.passes(map_.from, map_.to) : cuts_.passes(map_.to, map_.from);
    }

    void copy(tcp::socket& in, tcp::socket& out, buffer& bytes, bool upwards)
    {
        in.async_read_some(asio::buffer(bytes),
                           [self = shared_from_this(), &in, &out, &bytes,
                            upwards](boost::system::error_code const& error, std::size_t size)
                           {
                               if (error)
                                   return self->end();
                               if (!self->open(upwards))
                               {
                                   ++self->count_.tcp_cut;
                                   return self->end();
                               }
                               asio::async_write(
                                   out, asio::buffer(bytes, size),
                                   [self, &in, &out, &bytes,
                                    upwards](boost::system::error_code const& failed, std::size_t)
                                   { failed ? self->end() : self->copy(in, out, bytes, upwards); });
                           });
    }

    void end()
    {
        boost::system::error_code ignored;
        near_.close(ignored);
        far_.close(ignored);
    }

    tcp::socket near_;
    tcp::socket far_;
    mapping map_;
    partition const& cuts_;
    counters& count_;
    buffer up_{};
    buffer down_{};
};

class tcp_relay
{
public:
    tcp_relay(asio::io_context& io, mapping const& m, partition const& cuts, counters& count)
        : io_(io), map_(m), cuts_(cuts), count_(count),
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
                bool const passes =
                    cuts_.passes(map_.from, map_.to) && cuts_.passes(map_.to, map_.from);
                ++(passes ? count_.tcp_opened : count_.tcp_cut);
                if (!error && passes)
                    std::make_shared<tcp_pair>(std::move(socket), io_, map_, cuts_, count_)
                        ->start();
                accept();
            });
    }

    asio::io_context& io_;
    mapping map_;
    partition const& cuts_;
    counters& count_;
    tcp::acceptor acceptor_;
};

// "udp|tcp,FROM_ZONE,TO_ZONE,LISTEN_IP:PORT,TARGET_IP:PORT"
mapping parse_mapping(std::string const& text)
{
    auto const p = split(text, ',');
    if (p.size() != 5 || (p[0] != "udp" && p[0] != "tcp"))
    {
        std::cerr << "--map: not PROTOCOL,FROM,TO,LISTEN,TARGET: " << text << "\n";
        std::exit(2);
    }
    return {p[0] == "udp", static_cast<zone>(parse_number(p[1]).value_or(0)),
            static_cast<zone>(parse_number(p[2]).value_or(0)), require_endpoint(p[3], "--map"),
            require_endpoint(p[4], "--map")};
}

// {"cut": ZONE, "zones": [..], "direction": "both"|"out"|"in"} or "heal" instead of "cut":
// separates a zone from the others that are named.
http_reply control(partition& cuts, json::object const& command)
{
    auto const* const cut = command.if_contains("cut");
    auto const* const heal = command.if_contains("heal");
    auto const* const zones = command.if_contains("zones");
    auto const* const subject = cut != nullptr ? cut : heal;
    if (subject == nullptr || !subject->is_int64() || zones == nullptr || !zones->is_array())
        return {400, "{\"error\":\"cut or heal, and zones are needed\"}"};
    std::string direction = "both";
    if (auto const* const d = command.if_contains("direction"); d != nullptr && d->is_string())
        direction = std::string(d->as_string());
    zone const one = static_cast<zone>(subject->as_int64());
    for (json::value const& item : zones->as_array())
    {
        zone const other = static_cast<zone>(item.to_number<std::int64_t>());
        if (other == one)
            continue;
        if (direction != "in")
            cuts.set(one, other, cut != nullptr);
        if (direction != "out")
            cuts.set(other, one, cut != nullptr);
    }
    return {200, json::serialize(cuts.report())};
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description described("Relay between zones");
    described.add_options()(
        "map", options::value<std::vector<std::string>>()->default_value({}, ""),
        "udp|tcp,FROM_ZONE,TO_ZONE,LISTEN,TARGET; repeatable; FROM_ZONE 0 (UDP): "
        "the third byte of the sender's address")("file", options::value<std::string>(),
                                                  "JSON array of the same texts")(
        "control", options::value<std::string>()->required(),
        "ip:port (HTTP): POST /control, GET /stats");
    options::variables_map values;
    if (!parse_options(argc, argv, described, values))
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
    partition cuts;
    counters count;
    std::vector<std::unique_ptr<udp_relay>> udp;
    std::vector<std::unique_ptr<tcp_relay>> tcp;
    for (std::string const& text : maps)
    {
        mapping const m = parse_mapping(text);
        if (m.udp)
            udp.push_back(std::make_unique<udp_relay>(io, m, cuts, count));
        else
            tcp.push_back(std::make_unique<tcp_relay>(io, m, cuts, count));
    }
    serve_http(io, require_endpoint(values["control"].as<std::string>(), "--control"),
               [&](http_call const& call, http_responder const& respond)
               {
                   if (call.path == "/control" && call.method == "POST")
                       return respond(control(cuts, parse_object(call.body)));
                   respond({200, json::serialize(json::object{{"cut", cuts.report()},
                                                              {"udp_passed", count.udp_passed},
                                                              {"udp_cut", count.udp_cut},
                                                              {"tcp_opened", count.tcp_opened},
                                                              {"tcp_cut", count.tcp_cut}})});
               });
    std::cout << "relay ready" << std::endl;
    run_until_stopped(io, values);
    return 0;
}
