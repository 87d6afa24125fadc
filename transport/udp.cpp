#include "transport/udp.hpp"

#include "transport/event_loop.hpp"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/scope_exit.hpp>
#include <system_error>
#include <thread>
#include <vector>

namespace chivelever
{

namespace asio = boost::asio;
using asio::ip::udp;

namespace
{

// Holds a burst of a few thousand packets that arrives while a thread is descheduled.
constexpr int socket_buffer_bytes = 4 * 1024 * 1024;
// Datagrams read per wake-up before other handlers on the thread run.
constexpr int max_batch_datagrams = 64;

udp::endpoint to_asio(endpoint e)
{
    return {asio::ip::address_v4(e.address), e.port};
}

endpoint from_asio(udp::endpoint const& e)
{
    return {e.address().is_v4() ? e.address().to_v4().to_uint() : 0U, e.port()};
}

} // namespace

struct udp_socket::impl
{
    // Reads from the shared socket for one handler.
    struct worker
    {
        worker(impl& o, datagram_handler h) : owner(o), handler(std::move(h)) {}

        void wait()
        {
            owner.socket.async_wait(udp::socket::wait_read,
                                    [this](boost::system::error_code e)
                                    {
                                        if (e)
                                            return;
                                        // An exception that leaves the handler of one datagram does
                                        // not end the reception of others.
                                        BOOST_SCOPE_EXIT_ALL(this)
                                        {
                                            wait();
                                        };
                                        read_batch();
                                    });
        }

        void read_batch()
        {
            for (int i = 0; i < max_batch_datagrams; ++i)
            {
                boost::system::error_code e;
                udp::endpoint source;
                std::size_t const n = owner.socket.receive_from(asio::buffer(buffer), source, 0, e);
                // An ICMP error for an earlier datagram is reported here; the socket itself is
                // still usable.
                if (e == asio::error::connection_refused)
                    continue;
                if (e)
                    return;
                owner.received.fetch_add(1, std::memory_order_relaxed);
                owner.received_bytes.fetch_add(n, std::memory_order_relaxed);
                handler({buffer.data(), n}, from_asio(source));
            }
        }

        impl& owner;
        datagram_handler handler;
        std::array<char, 2048> buffer{};
    };

    explicit impl(endpoint local) : socket(io, udp::v4())
    {
        socket.set_option(asio::socket_base::receive_buffer_size(socket_buffer_bytes));
        socket.set_option(asio::socket_base::send_buffer_size(socket_buffer_bytes));
        socket.bind(to_asio(local));
        socket.non_blocking(true);
    }

    asio::io_context io;
    udp::socket socket;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::thread> threads;
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> received_bytes{0};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> sent_bytes{0};
    std::atomic<std::uint64_t> failures{0};
};

udp_socket::udp_socket(endpoint local) : impl_(std::make_unique<impl>(local)) {}

udp_socket::~udp_socket()
{
    stop();
}

void udp_socket::start(std::vector<datagram_handler> handlers)
{
    for (datagram_handler& h : handlers)
        impl_->workers.push_back(std::make_unique<impl::worker>(*impl_, std::move(h)));
    for (auto& w : impl_->workers)
        asio::post(impl_->io, [raw = w.get()] { raw->wait(); });
    for (std::size_t i = 0; i < impl_->workers.size(); ++i)
        impl_->threads.emplace_back(
            [this]
            {
                run_event_loop(impl_->io, [](std::exception_ptr const& error)
                               { log_failed_task("datagrams", error); });
            });
}

void udp_socket::stop()
{
    impl_->io.stop();
    for (std::thread& t : impl_->threads)
        t.join();
    impl_->threads.clear();
}

void udp_socket::send(endpoint to, std::string_view bytes)
{
    boost::system::error_code e;
    impl_->socket.send_to(asio::buffer(bytes.data(), bytes.size()), to_asio(to), 0, e);
    if (e)
    {
        impl_->failures.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    impl_->sent.fetch_add(1, std::memory_order_relaxed);
    impl_->sent_bytes.fetch_add(bytes.size(), std::memory_order_relaxed);
}

std::uint64_t udp_socket::received() const
{
    return impl_->received;
}
std::uint64_t udp_socket::received_bytes() const
{
    return impl_->received_bytes;
}
std::uint64_t udp_socket::sent() const
{
    return impl_->sent;
}
std::uint64_t udp_socket::sent_bytes() const
{
    return impl_->sent_bytes;
}
std::uint64_t udp_socket::send_failures() const
{
    return impl_->failures;
}

} // namespace chivelever
