// Seeded hashing of small keys, and rendezvous hashing over candidates.
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

// Score of one candidate under weighted rendezvous hashing; the highest score wins. A change of one
// weight or candidate moves only the keys that this candidate gains or loses.
inline double rendezvous_score(std::uint64_t key, std::uint64_t candidate, double weight)
{
    double const unit = (static_cast<double>(hash_pair(key, candidate) >> 11) + 0.5) * 0x1.0p-53;
    return weight <= 0 ? -1.0 : -weight / std::log(unit);
}

} // namespace chivelever

#endif
