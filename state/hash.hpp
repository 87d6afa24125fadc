// Seeded hashing of short keys, and weighted rendezvous hashing.
#ifndef CHIVELEVER_STATE_HASH_HPP
#define CHIVELEVER_STATE_HASH_HPP

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace chivelever
{

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);
std::uint64_t hash_pair(std::uint64_t a, std::uint64_t b);

// Score of a candidate in weighted rendezvous hashing; the highest score wins. Adding, removing or
// reweighting a candidate remaps only the keys that this candidate gains or loses.
inline double rendezvous_score(std::uint64_t key, std::uint64_t candidate, double weight)
{
    double const uniform = (static_cast<double>(hash_pair(key, candidate) >> 11) + 0.5) * 0x1.0p-53;
    return weight <= 0 ? -1.0 : -weight / std::log(uniform);
}

} // namespace chivelever

#endif
