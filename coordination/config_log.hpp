// Current configuration of one host and the recent changes that led to it. The revision never
// decreases.
#ifndef CHIVELEVER_COORDINATION_CONFIG_LOG_HPP
#define CHIVELEVER_COORDINATION_CONFIG_LOG_HPP

#include "coordination/config_rules.hpp"
#include "state/state.hpp"

#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

namespace chivelever
{

using config_ptr = std::shared_ptr<fleet_config const>;

enum class log_step : std::uint8_t
{
    applied,
    known, // this or a later revision is already applied
    gap,   // intermediate changes are missing
    refused
};
struct log_result
{
    log_step step{};
    findings problems; // set if refused
};

// Thread-safe; each call is atomic.
class config_log
{
public:
    explicit config_log(fleet_config initial = empty_config());

    config_ptr current() const;
    revision rev() const;

    // Applies the change if it has the next revision.
    log_result apply(config_change const& change);
    // Replaces the document if the revision of `snapshot` is higher, and clears the change history.
    bool install(fleet_config snapshot);

    // The changes after `since`, oldest first, or nullopt if they are no longer in the history.
    std::optional<std::vector<config_change>> changes_since(revision since) const;
    std::optional<config_change> change_at(revision rev) const;
    std::optional<config_change> find_change(std::string_view change_id) const;
    // The revision before the oldest change in the history.
    revision history_start() const;

    static constexpr std::size_t max_changes = 256;

private:
    void replace(config_ptr next);

    mutable std::mutex mutex_;
    config_ptr current_;
    std::deque<config_change> history_; // the last one leads to current_
};

} // namespace chivelever

#endif
