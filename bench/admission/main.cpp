// Compares admission and retry policies in a discrete-event simulation and prints tables.
#include "run.hpp"

#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <string>

using namespace chivelever;
using namespace chivelever::experiment;

namespace
{
void print_row(char const* name, result const& r, double ideal)
{
    double const n = static_cast<double>(r.offered);
    std::printf("| %-20s | %5.1f%% | %6.1f%% | %5.1f%% | %5.2f%% | %7llu | %6llu | %6.1f | %5.3f | "
                "%6.2f | %5.3f |\n",
                name, 100 * r.goodput(), ideal > 0 ? 100 * r.goodput() / ideal : 0.0,
                100 * static_cast<double>(r.not_run) / n, 100 * static_cast<double>(r.lost) / n,
                static_cast<unsigned long long>(r.excess),
                static_cast<unsigned long long>(r.excess_cold), r.overload_seconds, r.imbalance,
                r.full_capacity_s,
                static_cast<double>(r.attempts) / static_cast<double>(r.all_offered));
}

void compare(std::string const& title, scenario const& s)
{
    std::printf("\n%s: %u balancers, %u upstreams of %u slots, load %.0f%%, seed %llu\n\n",
                title.c_str(), s.balancers, s.upstreams, unsigned{s.slots}, 100 * s.load,
                static_cast<unsigned long long>(s.seed));
    std::puts("| policy               | good   | of ideal | refused | lost | excess | cold exc. | "
              "overload s | imbalance | full use s | attempts |");
    std::puts("|---|---|---|---|---|---|---|---|---|---|---|");
    result const ideal = run<ideal_policy>(s);
    print_row("ideal queue", ideal, ideal.goodput());
    print_row("one holder", run<pool_policy>(s, {}), ideal.goodput());
    print_row("independent limits", run<pool_policy>(s, {false, 10}), ideal.goodput());
    print_row("two choices", run<two_choices_policy>(s, {}), ideal.goodput());
}

void compare_admission(scenario s)
{
    for (std::uint16_t const slots : {3, 2})
        for (std::uint32_t const balancers : {9U, 60U})
            for (double const load : {0.5, 0.9, 1.5})
            {
                s.slots = slots;
                s.balancers = balancers;
                s.load = load;
                compare("steady, upstreams warm", s);
            }
}

void compare_cold_starts(scenario s)
{
    for (double const warm_after : {0.0, 2.0})
        for (double const slowness : {1.0, 4.0})
        {
            s.warm_after_s = warm_after;
            s.cold_slowness = slowness;
            s.measure_from = 0;
            std::string const model =
                " (warm after 4 answers and " + std::to_string(static_cast<int>(warm_after)) +
                " s, cold service " + std::to_string(static_cast<int>(slowness)) + "x)";
            s.load = 0.5;
            s.start_cold = true;
            s.cold_count = 0;
            s.cold_at = 0;
            compare("all start cold" + model, s);
            s.start_cold = false;
            s.cold_count = 3;
            s.cold_at = 5;
            compare("3 turn cold" + model, s);
        }
}

void print_retry_row(char const* name, result const& r)
{
    std::printf("| %-28s | %6.3f | %6.3f | %5.2f | %5.1f%% | %7llu |\n", name,
                static_cast<double>(r.outage_attempts) / static_cast<double>(r.outage_offered),
                static_cast<double>(r.attempts) / static_cast<double>(r.all_offered), r.recovery_s,
                100 * r.goodput(), static_cast<unsigned long long>(r.excess_cold));
}

void compare_retries(scenario s)
{
    s.load = 0.6;
    s.idempotent = 1;
    s.outage_from = 5;
    s.outage_to = 15;
    s.seconds = 30;
    s.measure_from = 15;
    for (bool const cold : {false, true})
        for (double const outage : {10.0, 10.7, 11.3})
        {
            s.start_cold = cold;
            s.outage_to = s.outage_from + outage;
            s.measure_from = s.outage_to;
            std::printf("\ntotal outage of %.1f s, upstreams return %s, load 60%%, seed %llu\n\n",
                        outage, cold ? "cold" : "warm", static_cast<unsigned long long>(s.seed));
            std::puts("| policy | attempts per request in the outage | over the run | s to 95% | "
                      "good after recovery | cold excess |");
            std::puts("|---|---|---|---|---|---|");
            print_retry_row("two choices, no retry", run<two_choices_policy>(s, {1}));
            print_retry_row("two choices, 3 tries", run<two_choices_policy>(s, {3}));
            print_retry_row("one holder, no retry", run<pool_policy>(s, {true, 0}));
            print_retry_row("one holder, retries 10%", run<pool_policy>(s, {}));
            print_retry_row("one holder, retries 100%", run<pool_policy>(s, {true, 100}));
        }
}
} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    scenario s;
    std::string selected_experiment;
    po::options_description options("bench_admission [admission|cold|retries|all]");
    options.add_options()("help", "print this")(
        "experiment", po::value(&selected_experiment)->default_value("all"),
        "admission, cold, retries or all")("seed", po::value(&s.seed)->default_value(1),
                                           "seed of the runs")(
        "seconds", po::value(&s.seconds)->default_value(20),
        "virtual seconds of a run")("sigma", po::value(&s.sigma)->default_value(0),
                                    "sigma of a lognormal service time; 0 means exponential");
    po::positional_options_description positional;
    positional.add("experiment", 1);
    po::variables_map values;
    try
    {
        po::store(po::command_line_parser(argc, argv).options(options).positional(positional).run(),
                  values);
        po::notify(values);
    }
    catch (po::error const& e)
    {
        std::cerr << e.what() << '\n';
        return 2;
    }
    if (values.count("help") != 0)
    {
        std::cout << options;
        return 0;
    }
    if (selected_experiment == "admission" || selected_experiment == "all")
        compare_admission(s);
    if (selected_experiment == "cold" || selected_experiment == "all")
        compare_cold_starts(s);
    if (selected_experiment == "retries" || selected_experiment == "all")
        compare_retries(s);
    std::printf("\ninvariant violations: %llu\n",
                static_cast<unsigned long long>(invariants::violations()));
    return invariants::violations() == 0 ? 0 : 1;
}
