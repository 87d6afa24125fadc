// Feeds random and mutated input to every decoder of external input. Deterministic for a given
// seed. Run it with the asan preset. A failure prints the target, seed and index of the input.
#include "bench/fuzz/targets.hpp"
#include "state/state.hpp"

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <iostream>
#include <random>

namespace
{

namespace po = boost::program_options;

constexpr std::size_t max_random_bytes = 1600; // slightly above the packet limit
constexpr std::size_t max_input_bytes = 1 << 16;
constexpr unsigned max_mutations = 6;
constexpr std::size_t excessive_depth = 40; // more levels than any decoder of JSON accepts

// Boundary numbers and special characters.
constexpr std::string_view boundary_tokens[] = {
    "\"", "{",  "}",  "[",  "]",    ",",   ":",       "\\u0000",   "-1",  "1e999",
    "0",  "\n", "=",  ";",  "null", "%",   "%00",     "\xff",      "999", "18446744073709551616",
    "&",  "?",  "//", "[]", "true", "2.5", "\\ud800", "4294967296"};

class input_generator
{
public:
    explicit input_generator(std::uint64_t seed) : random_(seed) {}

    // Of eight inputs, on average one is random bytes, one an unchanged sample and six are mutated
    // samples.
    std::string next(fuzz::target const& t)
    {
        std::size_t const choice = below(8);
        if (choice == 0)
            return random_bytes();
        std::string input = t.samples[below(t.samples.size())];
        if (choice == 1)
            return input;
        for (std::size_t n = 1 + below(max_mutations); n > 0; --n)
            mutate(input, t);
        if (input.size() > max_input_bytes)
            input.resize(max_input_bytes);
        return input;
    }

private:
    std::size_t below(std::size_t n) { return n == 0 ? 0 : random_() % n; }

    std::string random_bytes()
    {
        std::string s(below(max_random_bytes), '\0');
        for (char& c : s)
            c = static_cast<char>(random_());
        return s;
    }

    void mutate(std::string& s, fuzz::target const& t)
    {
        std::size_t const at = below(s.size() + 1);
        std::size_t const length = std::min(below(32), s.size() - at);
        switch (below(8))
        {
        case 0:
            if (!s.empty())
                s[below(s.size())] ^= static_cast<char>(1U << below(8));
            break;
        case 1:
            s.erase(at, length);
            break;
        case 2:
            s.insert(at, boundary_tokens[below(std::size(boundary_tokens))]);
            break;
        case 3:
            s.insert(at, s.substr(below(s.size() + 1), length));
            break;
        case 4:
            s.replace(at, length, boundary_tokens[below(std::size(boundary_tokens))]);
            break;
        case 5:
        {
            std::string const& other = t.samples[below(t.samples.size())];
            s = s.substr(0, at) + other.substr(std::min(other.size(), at));
            break;
        }
        case 6:
            s.insert(at, std::string(excessive_depth, '['));
            break;
        default:
            s.resize(at);
        }
    }

    std::mt19937_64 random_;
};

int run(std::uint64_t seed, std::uint64_t inputs, std::string const& target_name)
{
    bool ok = true;
    auto const targets = fuzz::all_targets();
    for (std::size_t n = 0; n < targets.size(); ++n)
    {
        fuzz::target const& t = targets[n];
        if (!target_name.empty() && target_name != t.name)
            continue;
        auto const start = std::chrono::steady_clock::now();
        input_generator source(chivelever::hash_pair(seed, n));
        std::uint64_t accepted = 0;
        std::uint64_t const inputs_per_target = inputs / targets.size();
        std::uint64_t i = 0;
        try
        {
            for (; i < inputs_per_target; ++i)
                accepted += t.run(source.next(t)) ? 1 : 0;
        }
        catch (std::exception const& e)
        {
            std::cerr << t.name << ": seed " << seed << " input " << i << ": " << e.what() << '\n';
            ok = false;
        }
        std::chrono::duration<double> const elapsed = std::chrono::steady_clock::now() - start;
        std::cout << t.name << ": " << i << " inputs, " << accepted << " accepted, "
                  << elapsed.count() << " s\n";
    }
    return ok && chivelever::invariants::violations() == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    po::options_description options("fuzz");
    options.add_options()("help", "show the options")(
        "seed", po::value<std::uint64_t>()->default_value(1), "seed of the inputs")(
        "inputs", po::value<std::uint64_t>()->default_value(100'000), "inputs over all targets")(
        "target", po::value<std::string>()->default_value(""), "run only this target");
    po::variables_map given;
    try
    {
        po::store(po::parse_command_line(argc, argv, options), given);
    }
    catch (po::error const& e)
    {
        std::cerr << e.what() << '\n';
        return 2;
    }
    if (given.count("help") != 0)
    {
        std::cout << options;
        return 0;
    }
    return run(given["seed"].as<std::uint64_t>(), given["inputs"].as<std::uint64_t>(),
               given["target"].as<std::string>());
}
