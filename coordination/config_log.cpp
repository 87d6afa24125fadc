#include "coordination/config_log.hpp"

#include <algorithm>

namespace chivelever
{

config_log::config_log(fleet_config initial)
    : current_(std::make_shared<fleet_config const>(std::move(initial)))
{
}

config_ptr config_log::current() const
{
    std::lock_guard const lock(mutex_);
    return current_;
}

revision config_log::rev() const
{
    std::lock_guard const lock(mutex_);
    return current_->rev;
}

// Replaces the document. The caller holds the lock.
void config_log::replace(config_ptr next)
{
    invariants::check(next->rev > current_->rev, "config.never_reverts",
                      "revision " + std::to_string(next->rev.value) + " after " +
                          std::to_string(current_->rev.value));
    current_ = std::move(next);
}

log_result config_log::apply(config_change const& change)
{
    std::lock_guard const lock(mutex_);
    if (change.rev <= current_->rev)
        return {log_step::known, {}};
    if (change.rev.value != current_->rev.value + 1)
        return {log_step::gap, {}};
    findings problems;
    auto next = value_or_findings([&] { return chivelever::apply(*current_, change); }, problems);
    if (!next)
        return {log_step::refused, std::move(problems)};
    replace(std::make_shared<fleet_config const>(std::move(*next)));
    history_.push_back(change);
    if (history_.size() > max_changes)
        history_.pop_front();
    return {log_step::applied, {}};
}

bool config_log::install(fleet_config snapshot)
{
    std::lock_guard const lock(mutex_);
    if (snapshot.rev <= current_->rev)
        return false;
    history_.clear();
    replace(std::make_shared<fleet_config const>(std::move(snapshot)));
    return true;
}

std::optional<std::vector<config_change>> config_log::changes_since(revision since) const
{
    std::lock_guard const lock(mutex_);
    std::uint64_t const newest = current_->rev.value;
    std::uint64_t const oldest_base = newest - history_.size();
    if (since.value >= newest)
        return std::vector<config_change>{};
    if (since.value < oldest_base)
        return {};
    return std::vector<config_change>(
        history_.begin() + static_cast<std::ptrdiff_t>(since.value - oldest_base), history_.end());
}

std::optional<config_change> config_log::change_at(revision rev) const
{
    std::lock_guard const lock(mutex_);
    std::uint64_t const newest = current_->rev.value;
    std::uint64_t const oldest_base = newest - history_.size();
    if (rev.value <= oldest_base || rev.value > newest)
        return {};
    return history_[rev.value - oldest_base - 1];
}

std::optional<config_change> config_log::find_change(std::string_view change_id) const
{
    std::lock_guard const lock(mutex_);
    auto const found =
        std::find_if(history_.begin(), history_.end(),
                     [&](config_change const& c) { return c.change_id == change_id; });
    if (found == history_.end())
        return {};
    return *found;
}

revision config_log::history_start() const
{
    std::lock_guard const lock(mutex_);
    return {current_->rev.value - history_.size()};
}

} // namespace chivelever
