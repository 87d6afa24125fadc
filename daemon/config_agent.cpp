#include "daemon/config_agent.hpp"

#include <boost/asio/post.hpp>

namespace chivelever
{

namespace
{

// Until the platform's list is read, the hosts named in the settings take its place.
host_list list_from_settings(host_settings const& s)
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

config_agent::config_agent(context& shared, packet_plane& packets, control_plane& control,
                           peer_client& calls, boost::asio::thread_pool& background)
    : shared_(shared), packets_(packets), control_(control), calls_(calls), background_(background),
      pulls_(shared.counters.count("config_pulls_total", "Configuration pulls from other hosts.",
                                   "result=\"done\"")),
      failed_pulls_(shared.counters.count(
          "config_pulls_total", "Configuration pulls from other hosts.", "result=\"failed\"")),
      list_(list_from_settings(shared.settings))
{
    shared.counters.gauge("config_revision", "Revision of the configuration in force here.",
                          [this] { return static_cast<double>(log_.rev().value); });
}

void config_agent::publish()
{
    std::lock_guard const lock(mutex_);
    time_point const now = monotonic_now();
    config_ptr const config = log_.current();
    invariants::check(config->rev >= published_, "a configuration never reverts", "config_agent");
    auto const table =
        std::make_shared<routing_table const>(*config, list_, shared_.settings.cluster_secret);
    shared_.table.set(table);
    shared_.ramp.set(std::make_shared<zone_ramp const>(shared_.ramp.get()->updated(*table, now)));
    packets_.table_changed(now);
    control_.table_changed(now);
    if (config->rev == published_)
        return;
    published_ = config->rev;
    shared_.record("config.applied", "change/" + config->last_change,
                   "revision " + std::to_string(config->rev.value));
    log::info("config.applied",
              {{"revision", std::to_string(config->rev.value)}, {"change", config->last_change}});
}

void config_agent::take_list(std::string const& json)
{
    auto list = decode_host_list(json);
    if (!list)
    {
        log::warning("hosts.unreadable");
        return;
    }
    {
        std::lock_guard const lock(mutex_);
        if (list->version <= list_.version)
            return;
        list_ = std::move(*list);
    }
    publish();
}

void config_agent::pull()
{
    if (!pulling_.exchange(true))
        boost::asio::post(background_, [this] { pull_now(); });
}

void config_agent::pull_now()
{
    auto const peer = control_.newer_peer();
    std::uint64_t list_version = 0;
    {
        std::lock_guard const lock(mutex_);
        list_version = list_.version;
    }
    std::optional<fetch_result> result;
    if (peer)
        result = calls_.fetch(*peer, log_.rev(), list_version);
    pulling_ = false;
    if (!result)
    {
        if (peer)
            ++failed_pulls_;
        return; // the next heartbeat asks again
    }
    ++pulls_;
    bool changed = false;
    if (!result->snapshot.empty())
        if (auto snapshot = decode_config(result->snapshot))
            changed = log_.install(std::move(*snapshot));
    for (std::string const& text : result->changes)
        if (auto const change = decode_change(text))
            changed = log_.apply(*change).step == log_step::applied || changed;
    if (changed)
        publish();
    if (!result->host_list.empty())
        take_list(result->host_list);
}

fetch_result config_agent::fetch(revision since, std::uint64_t list_version)
{
    fetch_result result;
    if (auto const changes = log_.changes_since(since))
        for (config_change const& c : *changes)
            result.changes.push_back(encode(c));
    else if (log_.rev() > since)
        result.snapshot = encode(*log_.current());
    std::lock_guard const lock(mutex_);
    if (list_.version > list_version)
        result.host_list = encode(list_);
    return result;
}

} // namespace chivelever
