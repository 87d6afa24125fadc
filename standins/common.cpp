#include "standins/common.hpp"

#include <sys/socket.h>

#include <charconv>
#include <csignal>
#include <cstring>
#include <iostream>

namespace chivelever::standins
{

namespace
{

constexpr int socket_buffer_bytes = 4 << 20; // net.core.rmem_max of the test machines
constexpr int batch_packets = 256;           // limit per call, so that other handlers can run
constexpr int default_max_seconds = 600;

} // namespace

timer_queue::handle timer_queue::at(steady::time_point when, std::function<void()> action)
{
    handle const h{when, next_++};
    pending_.emplace(h, std::move(action));
    if (when < next_expiry_)
        arm();
    return h;
}

void timer_queue::arm()
{
    next_expiry_ = pending_.begin()->first.first;
    timer_.expires_at(next_expiry_);
    timer_.async_wait(
        [this](boost::system::error_code const& error)
        {
            if (!error)
                run_due();
        });
}

void timer_queue::run_due()
{
    next_expiry_ = steady::time_point::min(); // actions that add timers must not arm the Asio timer
    auto const now = steady::now();
    while (!pending_.empty() && pending_.begin()->first.first <= now)
    {
        auto node = pending_.extract(pending_.begin());
        node.mapped()();
    }
    next_expiry_ = steady::time_point::max();
    if (!pending_.empty())
        arm();
}

udp_socket::udp_socket(asio::io_context& io, endpoint listen, handler on_packet)
    : socket_(io), on_packet_(std::move(on_packet))
{
    socket_.open(asio::ip::udp::v4());
    socket_.set_option(asio::socket_base::receive_buffer_size(socket_buffer_bytes));
    socket_.set_option(asio::socket_base::send_buffer_size(socket_buffer_bytes));
    int const on = 1;
    ::setsockopt(socket_.native_handle(), SOL_SOCKET, SO_RXQ_OVFL, &on, sizeof on);
    socket_.bind({asio::ip::address_v4(listen.address), listen.port});
    socket_.non_blocking(true);
    auto const bound = socket_.local_endpoint();
    local_ = {bound.address().to_v4().to_uint(), bound.port()};
    wait();
}

void udp_socket::wait()
{
    socket_.async_wait(asio::socket_base::wait_read,
                       [this, alive = alive_](boost::system::error_code const& error)
                       {
                           if (error || !*alive)
                               return;
                           drain();
                           if (*alive)
                               wait();
                       });
}

void udp_socket::drain()
{
    auto const alive = alive_;
    char bytes[2 * max_packet_bytes];
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(std::uint32_t))];
    for (int i = 0; i < batch_packets && *alive; ++i)
    {
        sockaddr_in from{};
        iovec part{bytes, sizeof bytes};
        msghdr message{&from, sizeof from, &part, 1, control, sizeof control, 0};
        auto const size = ::recvmsg(socket_.native_handle(), &message, MSG_DONTWAIT);
        if (size < 0 && errno == ECONNREFUSED)
            continue; // an earlier packet was sent to a closed port
        if (size < 0)
            return;
        for (auto* c = CMSG_FIRSTHDR(&message); c != nullptr; c = CMSG_NXTHDR(&message, c))
            if (c->cmsg_level == SOL_SOCKET && c->cmsg_type == SO_RXQ_OVFL)
            {
                std::uint32_t total{};
                std::memcpy(&total, CMSG_DATA(c), sizeof total);
                receive_drops_ = total;
            }
        on_packet_({ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)},
                   {bytes, static_cast<std::size_t>(size)});
    }
}

void udp_socket::send(endpoint to, std::string_view bytes)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(to.address);
    address.sin_port = htons(to.port);
    auto const sent = ::sendto(socket_.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT,
                               reinterpret_cast<sockaddr const*>(&address), sizeof address);
    if (sent < 0)
        ++send_failures_;
}

bool parse_options(int argc, char** argv, options::options_description& description,
                   options::variables_map& values)
{
    description.add_options()("help", "show the options")(
        "max-seconds", options::value<int>()->default_value(default_max_seconds),
        "time in seconds after which the program exits");
    try
    {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    }
    catch (options::error const& e)
    {
        std::cerr << argv[0] << ": " << e.what() << "\n" << description;
        std::exit(2);
    }
    if (values.count("help") != 0)
        std::cout << description;
    return values.count("help") == 0;
}

void run_until_stopped(asio::io_context& io, options::variables_map const& values)
{
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait(
        [&io](boost::system::error_code const& error, int)
        {
            if (!error)
                io.stop();
        });
    asio::steady_timer limit(io, std::chrono::seconds(values["max-seconds"].as<int>()));
    limit.async_wait(
        [&io](boost::system::error_code const& error)
        {
            if (error)
                return;
            std::cerr << "time limit reached\n";
            io.stop();
        });
    io.run();
}

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    for (;;)
    {
        auto const end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos)
            return parts;
        text.remove_prefix(end + 1);
    }
}

endpoint require_endpoint(std::string const& text, std::string_view option)
{
    endpoint const e = parse_endpoint(text);
    if (e.address == 0 || e.address >> 24 != 127)
    {
        std::cerr << option << ": not a loopback ip:port: " << text << "\n";
        std::exit(2);
    }
    return e;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value{};
    auto const result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc{})
        return {};
    return value;
}

} // namespace chivelever::standins
