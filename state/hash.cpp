#include "state/hash.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace chivelever
{

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_pair(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t const words[2] = {a, b};
    return XXH3_64bits(words, sizeof words);
}

} // namespace chivelever
