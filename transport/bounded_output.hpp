// Lines to a file descriptor that never blocks the writer: a pipe that nobody reads loses lines,
// and the loss is counted.
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

    // Keeps the line until the next flush; drops it if too much waits already.
    void add(std::string_view line);
    // Writes what the descriptor takes without waiting.
    void flush();
    std::uint64_t dropped() const { return dropped_; }
    std::size_t waiting() const { return buffer_.size(); }

private:
    int descriptor_;
    std::size_t limit_;
    std::string buffer_;
    std::uint64_t dropped_{};
};

} // namespace chivelever

#endif
