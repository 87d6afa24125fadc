// Randomised simulation of the product's routing and coordination code with faults, in virtual
// time.
#include "simulated_cluster.hpp"

#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <mutex>
#include <thread>
#include <vector>

namespace
{

using namespace chivelever;
using namespace chivelever::soak;

thread_local simulation* current{}; // the simulation running on this thread

struct options
{
    std::uint64_t seed{1};
    std::uint64_t seeds{1};
    std::uint64_t steps{100'000};
    unsigned threads{4};
    bool digest{};
    bool trace{};
    bool verbose{};
    bool replay{};
};

struct outcome
{
    std::uint64_t violations{};
    std::uint64_t digest{};
    std::vector<std::string> reports;
    std::vector<std::string> trace;
    run_statistics count;
    sim_time time{};
};

outcome run_seed(std::uint64_t seed, options const& o)
{
    simulated_cluster cluster(seed);
    cluster.sim.tracing = o.trace;
    current = &cluster.sim;
    cluster.run(o.steps);
    current = nullptr;
    return {cluster.sim.violations, cluster.sim.digest(), cluster.sim.reports,
            cluster.sim.trace,      cluster.count,        cluster.sim.now()};
}

void print(std::uint64_t seed, outcome const& r, options const& o)
{
    for (std::string const& line : r.trace)
        std::cout << line << '\n';
    for (std::string const& line : r.reports)
        std::cout << "seed " << seed << ": " << line << '\n';
    if (o.verbose)
        std::cout << "seed " << seed << ": " << r.time / second << " s, requests "
                  << r.count.requests << ", answered " << r.count.answers << ", not run "
                  << r.count.not_run << ", unknown " << r.count.unknown << ", streams "
                  << r.count.streams << ", echoes " << r.count.echoes << ", given up "
                  << r.count.given_up << ", changes " << r.count.changes << ", faults "
                  << r.count.faults << ", excess before notice " << r.count.excess_before_notice
                  << ", excess late " << r.count.excess_late << '\n';
    if (o.digest)
        std::cout << "digest=" << std::hex << r.digest << std::dec << " seed=" << seed << '\n';
    if (r.violations != 0 && o.seeds > 1)
        std::cout << "violations=" << r.violations << " steps=" << o.steps << " seed=" << seed
                  << '\n';
}

// Runs the seeds on several threads; returns the number of violations.
std::uint64_t run_all(options const& o)
{
    std::atomic<std::uint64_t> next{0};
    std::uint64_t violations = 0;
    std::mutex mutex;
    auto const work = [&]
    {
        for (std::uint64_t i = next++; i < o.seeds; i = next++)
        {
            outcome r = run_seed(o.seed + i, o);
            if (o.replay && run_seed(o.seed + i, o).digest != r.digest)
            {
                ++r.violations;
                r.reports.emplace_back("the second run of the seed differs");
            }
            std::lock_guard const lock(mutex);
            violations += r.violations;
            print(o.seed + i, r, o);
        }
    };
    std::vector<std::jthread> threads;
    for (unsigned t = 0; t < std::min<std::uint64_t>(o.threads, o.seeds); ++t)
        threads.emplace_back(work);
    threads.clear();
    return violations;
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    options o;
    po::options_description description("options");
    description.add_options()("help", "show this text")("seed", po::value(&o.seed), "first seed")(
        "seeds", po::value(&o.seeds), "number of seeds")(
        "steps", po::value(&o.steps), "events for each seed")("threads", po::value(&o.threads),
                                                              "seeds that run at a time")(
        "digest", po::bool_switch(&o.digest), "print the digest of each event log")(
        "trace", po::bool_switch(&o.trace), "print faults and changes")(
        "replay", po::bool_switch(&o.replay), "run each seed twice and compare the digests")(
        "verbose", po::bool_switch(&o.verbose), "print statistics of each seed");
    po::variables_map values;
    try
    {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    }
    catch (po::error const& e)
    {
        std::cerr << e.what() << '\n';
        return 2;
    }
    if (values.contains("help"))
    {
        std::cout << description;
        return 0;
    }
    invariants::on_violation(
        [](std::string_view rule, std::string_view detail)
        {
            if (current != nullptr)
                current->violation("product: " + std::string(rule), std::string(detail));
        });
    auto const start = std::chrono::steady_clock::now();
    std::uint64_t const violations = run_all(o);
    double const seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
    std::cout << "seeds=" << o.seeds << " steps_per_second="
              << static_cast<std::uint64_t>(static_cast<double>(o.steps * o.seeds) / seconds)
              << '\n';
    std::cout << "violations=" << violations << " steps=" << o.steps * o.seeds << " seed=" << o.seed
              << '\n';
    return violations == 0 ? 0 : 1;
}
