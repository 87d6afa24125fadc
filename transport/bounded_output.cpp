#include "transport/bounded_output.hpp"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace chivelever
{

void bounded_output::append(std::string_view line)
{
    if (buffer_.size() + line.size() + 1 > limit_)
    {
        ++dropped_;
        return;
    }
    buffer_ += line;
    buffer_ += '\n';
}

// A pipe that poll() reports as writable accepts PIPE_BUF bytes without blocking, even if it was
// not opened as non-blocking.
void bounded_output::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size())
    {
        pollfd p{descriptor_, POLLOUT, 0};
        if (::poll(&p, 1, 0) != 1 || (p.revents & POLLOUT) == 0)
            break;
        std::size_t const chunk = std::min<std::size_t>(PIPE_BUF, buffer_.size() - written);
        ssize_t const n = ::write(descriptor_, buffer_.data() + written, chunk);
        if (n <= 0)
            break;
        written += static_cast<std::size_t>(n);
    }
    buffer_.erase(0, written);
}

} // namespace chivelever
