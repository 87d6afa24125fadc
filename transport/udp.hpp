// UDP socket read by several threads, for packets and for peer datagrams.
#ifndef CHIVELEVER_TRANSPORT_UDP_HPP
#define CHIVELEVER_TRANSPORT_UDP_HPP

#include "state/state.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace chivelever
{

// Called on a worker thread for each datagram. The bytes are valid only during the call.
using datagram_handler = std::function<void(std::string_view bytes, endpoint source)>;

class udp_socket
{
public:
    // Binds the socket; throws std::system_error if the address is in use.
    explicit udp_socket(endpoint local);
    ~udp_socket();
    udp_socket(udp_socket const&) = delete;
    udp_socket& operator=(udp_socket const&) = delete;

    // Starts one thread for each handler. Calls of a handler never overlap.
    void start(std::vector<datagram_handler> handlers);
    // No handler runs after this returns.
    void stop();

    // Thread-safe. A datagram that the kernel rejects is dropped and counted.
    void send(endpoint to, std::string_view bytes);

    std::uint64_t received() const;
    std::uint64_t received_bytes() const;
    std::uint64_t sent() const;
    std::uint64_t sent_bytes() const;
    std::uint64_t send_failures() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace chivelever

#endif
