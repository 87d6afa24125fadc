#include "daemon/context.hpp"

namespace chivelever
{

daemon_context::daemon_context(host_settings s, incarnation run)
    : settings(std::move(s)), self{settings.id, run},
      table(std::make_shared<routing_table const>(empty_config(), host_list{},
                                                  settings.cluster_secret)),
      view(std::make_shared<cluster_view const>(self, settings.zone, std::vector<cluster_entry>{})),
      ramp(std::make_shared<zone_ramp const>()), started(monotonic_now())
{
}

void daemon_context::record(std::string_view kind, std::string_view subject,
                            std::string_view detail)
{
    timeline_events.add({clock.now(unix_now_ms()), self.host, std::string(kind),
                         std::string(subject), std::string(detail)});
    log::debug(kind, {{"subject", std::string(subject)}, {"detail", std::string(detail)}});
}

} // namespace chivelever
