// Shared by the stand-ins: timers, UDP sockets with large buffers, option parsing and the event
// loop. Stand-ins are test programs that simulate external components; each runs one event loop on
// one thread.
#ifndef CHIVELEVER_STANDINS_COMMON_HPP
#define CHIVELEVER_STANDINS_COMMON_HPP

#include "state/state.hpp"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chivelever::standins
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace options = boost::program_options;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Multiplexes many short timers on one Asio timer. A timer object for each request would cost more
// than the request itself.
class timer_queue
{
public:
    using handle = std::pair<steady::time_point, std::uint64_t>;

    explicit timer_queue(asio::io_context& io) : timer_(io) {}
    handle at(steady::time_point when, std::function<void()> action);
    handle after(steady::duration delay, std::function<void()> action)
    {
        return at(steady::now() + delay, std::move(action));
    }
    void cancel(handle const& h) { pending_.erase(h); }

private:
    void arm();
    void run_due();

    asio::steady_timer timer_;
    steady::time_point next_expiry_{steady::time_point::max()};
    std::map<handle, std::function<void()>> pending_;
    std::uint64_t next_{};
};

// A non-blocking UDP socket that reads packets in batches. Counts the packets that the kernel
// dropped because the receive buffer was full, to distinguish the test program's losses from the
// product's.
class udp_socket
{
public:
    using handler = std::function<void(endpoint from, std::string_view bytes)>;

    udp_socket(asio::io_context& io, endpoint listen, handler on_packet);
    ~udp_socket() { *alive_ = false; }
    udp_socket(udp_socket const&) = delete;
    udp_socket& operator=(udp_socket const&) = delete;

    void send(endpoint to, std::string_view bytes);
    endpoint local() const { return local_; }
    std::uint64_t receive_drops() const { return receive_drops_; }
    std::uint64_t send_failures() const { return send_failures_; }

private:
    void wait();
    void drain();

    asio::ip::udp::socket socket_;
    handler on_packet_;
    endpoint local_;
    std::uint64_t receive_drops_{};
    std::uint64_t send_failures_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); // handlers may outlive the socket
};

// Adds --help and --max-seconds, parses, and reports errors. Returns false if the program should
// exit.
bool parse_options(int argc, char** argv, options::options_description& description,
                   options::variables_map& values);

// Runs the loop until SIGTERM, SIGINT, --max-seconds or io.stop().
void run_until_stopped(asio::io_context& io, options::variables_map const& values);

// Splits at a separator; empty parts are kept.
std::vector<std::string> split(std::string_view text, char separator);

// Parses "ip:port" with a loopback address, or exits with a message that names the option.
endpoint require_endpoint(std::string const& text, std::string_view option);

// Parses an unsigned integer at the start of text; nullopt if there is none.
std::optional<std::uint64_t> parse_number(std::string_view text);

} // namespace chivelever::standins

#endif
