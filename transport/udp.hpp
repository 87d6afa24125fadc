// UDP sockets: one that several threads read, for packets and for peer datagrams.
#ifndef CHIVELEVER_TRANSPORT_UDP_HPP
#define CHIVELEVER_TRANSPORT_UDP_HPP

#include "state/state.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace chivelever
{

// Called in a worker thread for each datagram; the bytes are valid during the call.
using datagram_handler = std::function<void(std::string_view bytes, endpoint source)>;

class udp_socket
{
public:
    // Binds at once and throws std::system_error if the address is in use.
    explicit udp_socket(endpoint local);
    ~udp_socket();
    udp_socket(udp_socket const&) = delete;
    udp_socket& operator=(udp_socket const&) = delete;

    // Starts one thread for each handler. A handler is called by its own thread only.
    void start(std::vector<datagram_handler> handlers);
    // No handler runs after this returns.
    void stop();

    // Thread-safe. A datagram that the kernel does not take is dropped and counted.
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
