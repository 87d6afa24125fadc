// Counters and latency histograms of one process, in the Prometheus text format.
#ifndef CHIVELEVER_TRANSPORT_METRICS_HPP
#define CHIVELEVER_TRANSPORT_METRICS_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace chivelever
{

class metrics
{
public:
    using counter = std::atomic<std::uint64_t>;

    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    // The counter of this name and label text, for example packets_dropped_total and
    // reason="forged". The reference stays valid; look it up once, not for each packet.
    counter& count(std::string const& name, std::string const& help,
                   std::string const& labels = {});
    // A value read when the page is made.
    void gauge(std::string const& name, std::string const& help, std::function<double()> read,
               std::string const& labels = {});
    // Adds a sample, in seconds, to the histogram and the quantiles of this name.
    void observe(std::string const& name, std::string const& help, double value);

    std::string render() const;

private:
    struct family;
    struct samples;
    family& find(std::string const& name, std::string const& help, char const* type);
    static void render_samples(std::ostream& out, std::string const& name, samples const& seen);

    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<family>> families_;
};

} // namespace chivelever

#endif
