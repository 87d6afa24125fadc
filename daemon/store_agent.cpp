#include "daemon/store_agent.hpp"

#include <chrono>

namespace chivelever
{

namespace
{
using namespace std::chrono_literals;
constexpr auto idle_pause = 200ms;
constexpr duration watch_wait = 5s;
constexpr auto list_period = 2s;
} // namespace

store_agent::store_agent(context& shared, control_plane& control, config_agent& config)
    : shared_(shared), control_(control), config_(config),
      store_(shared.settings.in_process
                 ? std::variant<http_store, memory_store>(std::in_place_type<memory_store>)
                 : std::variant<http_store, memory_store>(std::in_place_type<http_store>,
                                                          shared.settings.store))
{
}

store_agent::~store_agent() { stop(); }

void store_agent::start()
{
    watch_thread_ = std::thread([this] { run_watch(); });
    list_thread_ = std::thread([this] { run_list(); });
}

void store_agent::stop()
{
    stopping_ = true;
    if (watch_thread_.joinable())
        watch_thread_.join();
    if (list_thread_.joinable())
        list_thread_.join();
}

void store_agent::run_watch()
{
    while (!stopping_)
    {
        if (!control_.is_watcher())
        {
            std::this_thread::sleep_for(idle_pause);
            continue;
        }
        std::string const key =
            "config/change/" + std::to_string(config_.log().rev().value + 1);
        store_value const v =
            std::visit([&](auto& s) { return s.watch(key, 0, watch_wait); }, store_);
        if (v.status == store_status::done)
        {
            if (auto const change = decode_change(v.value);
                change && config_.log().apply(*change).step == log_step::applied)
                config_.publish();
            else
            {
                log::error("config.unreadable", {{"key", key}});
                std::this_thread::sleep_for(list_period);
            }
        }
        else if (v.status == store_status::unreachable)
            std::this_thread::sleep_for(idle_pause);
    }
}

void store_agent::run_list()
{
    auto next = std::chrono::steady_clock::now();
    while (!stopping_)
    {
        std::this_thread::sleep_for(idle_pause);
        if (std::chrono::steady_clock::now() < next || !control_.is_watcher())
            continue;
        next = std::chrono::steady_clock::now() + list_period;
        store_value const v = std::visit([](auto& s) { return s.get("hosts"); }, store_);
        if (v.status == store_status::done)
            config_.take_list(v.value);
    }
}

} // namespace chivelever
