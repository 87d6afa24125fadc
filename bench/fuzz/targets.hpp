// Decoders of external input, each with well-formed samples to mutate.
#ifndef CHIVELEVER_BENCH_FUZZ_TARGETS_HPP
#define CHIVELEVER_BENCH_FUZZ_TARGETS_HPP

#include <functional>
#include <string>
#include <vector>

namespace fuzz
{

struct target
{
    std::string name;
    std::vector<std::string> samples;
    // Returns whether the input was accepted; throws if a property of the decoder is violated.
    std::function<bool(std::string const& input)> run;
};

std::vector<target> all_targets();
std::vector<target> edge_targets(); // part of all_targets()

// Throws std::logic_error if a property of a decoder does not hold.
void require(bool holds, char const* what);

} // namespace fuzz

#endif
