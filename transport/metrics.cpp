#include "transport/metrics.hpp"

#include <sstream> // needed by Boost's quantile header, which does not include it

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace chivelever
{

namespace acc = boost::accumulators;

namespace
{
constexpr std::array<double, 4> quantiles{0.5, 0.9, 0.99, 0.999};
// Upper bounds of the histogram buckets in seconds: from a response within a zone to the longest
// request timeout.
constexpr std::array<double, 13> bucket_bounds{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                               0.2,   0.5,   1,     2,    5,    10};
} // namespace

struct metrics::histogram
{
    using accumulator = acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;
    std::array<std::uint64_t, bucket_bounds.size() + 1> buckets{}; // the last one has no bound
    accumulator set{acc::extended_p_square_probabilities = quantiles};
};

struct metrics::family
{
    std::string help;
    char const* type;
    std::map<std::string, std::unique_ptr<counter>> counters;
    std::map<std::string, std::function<double()>> gauges;
    std::unique_ptr<metrics::histogram> histogram_data;
};

metrics::metrics() = default;
metrics::~metrics() = default;

metrics::family& metrics::find(std::string const& name, std::string const& help, char const* type)
{
    auto& f = families_[name];
    if (!f)
    {
        f = std::make_unique<family>();
        f->help = help;
        f->type = type;
    }
    return *f;
}

metrics::counter& metrics::count(std::string const& name, std::string const& help,
                                 std::string const& labels)
{
    std::lock_guard const lock(mutex_);
    auto& c = find(name, help, "counter").counters[labels];
    if (!c)
        c = std::make_unique<counter>(0);
    return *c;
}

void metrics::gauge(std::string const& name, std::string const& help, std::function<double()> read,
                    std::string const& labels)
{
    std::lock_guard const lock(mutex_);
    find(name, help, "gauge").gauges[labels] = std::move(read);
}

void metrics::observe(std::string const& name, std::string const& help, double value)
{
    std::lock_guard const lock(mutex_);
    family& f = find(name, help, "histogram");
    if (!f.histogram_data)
        f.histogram_data = std::make_unique<histogram>();
    f.histogram_data->set(value);
    auto const bound = std::ranges::lower_bound(bucket_bounds, value);
    ++f.histogram_data->buckets[static_cast<std::size_t>(bound - bucket_bounds.begin())];
}

void metrics::render_histogram(std::ostream& out, std::string const& name, histogram const& data)
{
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < data.buckets.size(); ++i)
    {
        cumulative += data.buckets[i];
        out << name << "_bucket{le=\"";
        if (i < bucket_bounds.size())
            out << bucket_bounds[i];
        else
            out << "+Inf";
        out << "\"} " << cumulative << "\n";
    }
    out << name << "_sum " << acc::sum(data.set) << "\n"
        << name << "_count " << acc::count(data.set) << "\n# TYPE " << name << "_quantile gauge\n";
    for (double const p : quantiles)
        out << name << "_quantile{quantile=\"" << p << "\"} "
            << acc::quantile(data.set, acc::quantile_probability = p) << "\n";
}

std::string metrics::render() const
{
    std::lock_guard const lock(mutex_);
    std::ostringstream out;
    for (auto const& entry : families_)
    {
        std::string const& name = entry.first;
        auto const& f = entry.second;
        out << "# HELP chivelever_" << name << " " << f->help << "\n# TYPE chivelever_" << name
            << " " << f->type << "\n";
        auto const line = [&](std::string const& labels, auto value)
        {
            out << "chivelever_" << name << (labels.empty() ? "" : "{" + labels + "}") << " "
                << value << "\n";
        };
        for (auto const& [labels, c] : f->counters)
            line(labels, c->load());
        for (auto const& [labels, read] : f->gauges)
            line(labels, read());
        if (f->histogram_data)
            render_histogram(out, "chivelever_" + name, *f->histogram_data);
    }
    return out.str();
}

} // namespace chivelever
