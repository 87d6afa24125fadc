// Line output to a file descriptor that never blocks the writer: if the reader falls behind, lines
// are dropped and counted.
#ifndef CHIVELEVER_TRANSPORT_BOUNDED_OUTPUT_HPP
#define CHIVELEVER_TRANSPORT_BOUNDED_OUTPUT_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace chivelever
{

class bounded_output
{
public:
    explicit bounded_output(int descriptor, std::size_t limit_bytes = 64 * 1024)
        : descriptor_(descriptor), limit_(limit_bytes)
    {
    }

    // Buffers a line until the next flush, or drops it if the buffer is full.
    void append(std::string_view line);
    // Writes as much as the descriptor accepts without blocking.
    void flush();
    std::uint64_t dropped() const { return dropped_; }
    std::size_t pending_bytes() const { return buffer_.size(); }

private:
    int descriptor_;
    std::size_t limit_;
    std::string buffer_;
    std::uint64_t dropped_{};
};

} // namespace chivelever

#endif
