// Counters, gauges and latency histograms of one process, in the Prometheus text format.
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

    // Returns the counter with this name and label text, for example packets_dropped_total and
    // reason="forged". The reference stays valid; cache it on hot paths.
    counter& count(std::string const& name, std::string const& help,
                   std::string const& labels = {});
    // Registers a gauge whose value is read by each render().
    void gauge(std::string const& name, std::string const& help, std::function<double()> read,
               std::string const& labels = {});
    // Adds a sample, in seconds, to the histogram and the quantiles of this name.
    void observe(std::string const& name, std::string const& help, double value);

    std::string render() const;

private:
    struct family;
    struct histogram;
    family& find(std::string const& name, std::string const& help, char const* type);
    static void render_histogram(std::ostream& out, std::string const& name, histogram const& data);

    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<family>> families_;
};

} // namespace chivelever

#endif
