#include "state/edge_types.hpp"

#include "state/hash.hpp"

namespace chivelever
{

flow_token make_flow_token(std::string_view upstream_name)
{
    auto const truncated = static_cast<std::uint32_t>(hash_bytes(upstream_name));
    return {truncated == 0 ? 1U : truncated};
}

} // namespace chivelever
