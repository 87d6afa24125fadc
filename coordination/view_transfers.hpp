// Bounds the large views that a host sends at a time. When the configuration has grown by many
// routes, one host has it first and all others ask it. On a narrow link the responses would hold up
// everything else that the host sends, its own calls included, for seconds: its view becomes
// outdated, and its probes fail. Hosts that are refused ask one that has got the view meanwhile
// (docs/design/view-transfers.md).
#ifndef CHIVELEVER_COORDINATION_VIEW_TRANSFERS_HPP
#define CHIVELEVER_COORDINATION_VIEW_TRANSFERS_HPP

#include <cstddef>
#include <memory>

namespace chivelever
{

class view_transfers
{
public:
    // Held while a view is on its way.
    using slot = std::shared_ptr<void const>;

    // Admits a view with this many routes and upstreams; null if it is large and as many large ones
    // as allowed are on their way.
    slot begin(std::size_t rows);
    // Large views on their way.
    std::size_t active() const { return *active_; }

private:
    std::shared_ptr<std::size_t> active_ = std::make_shared<std::size_t>(0);
};

} // namespace chivelever

#endif
