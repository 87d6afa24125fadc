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

} // namespace fuzz

#endif
