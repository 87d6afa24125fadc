#include "daemon/config_agent.hpp"

#include <boost/asio/post.hpp>

namespace chivelever
{

namespace
{

// Builds the initial host list from the settings; it applies until the platform's list is read.
host_list host_list_from_settings(host_settings const& s)
{
    host_list list;
    list.hosts.push_back({listed_kind::entry, s.id.value, s.zone, host_state::live, s.packet_listen,
                          s.peer_listen, s.grpc_listen});
    for (peer_settings const& p : s.peers)
        list.hosts.push_back(
            {listed_kind::entry, p.id.value, p.zone, host_state::live, p.packet, p.peer, p.grpc});
    return list;
}

} // namespace

config_agent::config_agent(daemon_context& context, packet_plane& packets, control_plane& control,
                           peer_client& client, boost::asio::thread_pool& background)
    : context_(context), packet_plane_(packets), control_plane_(control), peer_client_(client),
      background_(background),
      pull_count_(context.metric_registry.count(
          "config_pulls_total", "Configuration pulls from other hosts.", "result=\"done\"")),
      failed_pull_count_(context.metric_registry.count(
          "config_pulls_total", "Configuration pulls from other hosts.", "result=\"failed\"")),
      host_list_(host_list_from_settings(context.settings))
{
    context.metric_registry.gauge("config_revision", "Revision of the configuration in force here.",
                                  [this] { return static_cast<double>(config_log_.rev().value); });
}

void config_agent::publish()
{
    std::lock_guard const lock(mutex_);
    time_point const now = monotonic_now();
    config_ptr const config = config_log_.current();
    invariants::check(config->rev >= published_revision_, "a configuration never reverts",
                      "config_agent");
    auto const table = std::make_shared<routing_table const>(*config, host_list_,
                                                             context_.settings.cluster_secret);
    context_.table.set(table);
    context_.ramp.set(std::make_shared<zone_ramp const>(context_.ramp.get()->updated(*table, now)));
    packet_plane_.table_changed(now);
    control_plane_.table_changed(now);
    if (config->rev == published_revision_)
        return;
    published_revision_ = config->rev;
    context_.record("config.applied", "change/" + config->last_change,
                    "revision " + std::to_string(config->rev.value));
    log::info("config.applied",
              {{"revision", std::to_string(config->rev.value)}, {"change", config->last_change}});
}

void config_agent::apply_host_list(std::string const& json)
{
    findings problems;
    findings skipped;
    auto list = value_or_findings([&] { return decode_host_list(json, skipped); }, problems);
    for (finding const& f : problems)
        log::warning("hosts.unreadable", {{"finding", to_string(f)}});
    if (!list)
        return;
    {
        std::lock_guard const lock(mutex_);
        if (list->version <= host_list_.version)
            return;
        host_list_ = std::move(*list);
    }
    for (finding const& f : skipped)
        log::warning("hosts.entry_skipped", {{"finding", to_string(f)}});
    publish();
}

void config_agent::pull()
{
    if (!pulling_.exchange(true))
        boost::asio::post(background_, [this] { pull_from_peer(); });
}

void config_agent::pull_from_peer()
{
    auto const peer = control_plane_.newer_peer_endpoint();
    std::uint64_t list_version = 0;
    {
        std::lock_guard const lock(mutex_);
        list_version = host_list_.version;
    }
    std::optional<fetch_result> result;
    if (peer)
        result = peer_client_.fetch(*peer, config_log_.rev(), list_version);
    pulling_ = false;
    if (!result)
    {
        if (peer)
            ++failed_pull_count_;
        return; // retried at the next heartbeat that announces a newer version
    }
    ++pull_count_;
    bool changed = false;
    if (!result->snapshot.empty())
        if (auto snapshot = decode_config(result->snapshot))
            changed = config_log_.install(std::move(*snapshot));
    for (std::string const& text : result->changes)
        if (auto const change = decode_change(text))
            changed = config_log_.apply(*change).step == log_step::applied || changed;
    if (changed)
        publish();
    if (!result->host_list.empty())
        apply_host_list(result->host_list);
}

fetch_result config_agent::serve_fetch(revision since, std::uint64_t list_version)
{
    fetch_result result;
    if (auto const changes = config_log_.changes_since(since))
        for (config_change const& c : *changes)
            result.changes.push_back(encode(c));
    else if (config_log_.rev() > since)
        result.snapshot = encode(*config_log_.current());
    std::lock_guard const lock(mutex_);
    if (host_list_.version > list_version)
        result.host_list = encode(host_list_);
    return result;
}

} // namespace chivelever
