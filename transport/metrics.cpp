#include "transport/metrics.hpp"

#include <sstream> // needed by Boost's quantile header, which does not include it

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
constexpr std::array<double, 4> probabilities{0.5, 0.9, 0.99, 0.999};
}

struct metrics::quantiles
{
    using accumulator = acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;
    accumulator set{acc::extended_p_square_probabilities = probabilities};
};

struct metrics::family
{
    std::string help;
    char const* type;
    std::map<std::string, std::unique_ptr<counter>> counters;
    std::map<std::string, std::function<double()>> gauges;
    std::unique_ptr<quantiles> samples;
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
    family& f = find(name, help, "summary");
    if (!f.samples)
        f.samples = std::make_unique<quantiles>();
    f.samples->set(value);
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
        if (!f->samples)
            continue;
        for (double const p : probabilities)
        {
            std::ostringstream label;
            label << "quantile=\"" << p << "\"";
            line(label.str(), acc::quantile(f->samples->set, acc::quantile_probability = p));
        }
        out << "chivelever_" << name << "_sum " << acc::sum(f->samples->set) << "\nchivelever_"
            << name << "_count " << acc::count(f->samples->set) << "\n";
    }
    return out.str();
}

} // namespace chivelever
