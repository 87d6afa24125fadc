// The decoders that take bytes from outside, each with well-formed samples to mutate.
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
    // Returns whether the input was accepted; throws or crashes only if there is a fault.
    std::function<bool(std::string const& input)> run;
};

std::vector<target> all_targets();

} // namespace fuzz

#endif
