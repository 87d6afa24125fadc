// The configuration in force on one host and the changes that led to it. The revision never falls.
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
    known, // this revision or a later one is already in force
    gap,   // changes in between are missing
    refused
};
struct log_result
{
    log_step step{};
    findings problems; // if refused
};

// Shared by the threads of a daemon; every call is atomic.
class config_log
{
public:
    explicit config_log(fleet_config initial = empty_config());

    config_ptr current() const;
    revision rev() const;

    // Applies the change if it is the next one.
    log_result apply(config_change const& change);
    // Takes a whole document if its revision is higher. The changes before it become unknown.
    bool install(fleet_config snapshot);

    // The changes after `since`, oldest first; nothing if they are no longer kept.
    std::optional<std::vector<config_change>> changes_since(revision since) const;
    std::optional<config_change> change_at(revision rev) const;
    std::optional<config_change> find_change(std::string_view change_id) const;
    // The revision before the oldest change that is kept.
    revision history_start() const;

    static constexpr std::size_t max_changes = 256;

private:
    void put(config_ptr next);

    mutable std::mutex mutex_;
    config_ptr current_;
    std::deque<config_change> changes_; // the last one leads to current_
};

} // namespace chivelever

#endif
