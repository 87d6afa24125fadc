#include "admission/capacity_admission.hpp"

#include <array>

namespace chivelever
{

std::string_view to_string(admission_reason r)
{
    constexpr std::array<std::string_view, 5> names{
        "within_share", "zone_has_room", "minimum_share", "no_room", "caller_over_share"};
    return names[static_cast<std::size_t>(r)];
}

bool capacity_admission::applies_to(std::string const& service) const
{
    return settings_.enabled && services_.contains(service);
}

void capacity_admission::record_opening(std::string const&, endpoint, std::uint32_t, duration,
                                        time_point)
{
}

void capacity_admission::record_request(std::string const&, std::uint32_t, time_point) {}

void capacity_admission::record_answer(std::string const&, duration, bool) {}

admission_result capacity_admission::admit(admission_query const&, time_point)
{
    return {};
}

std::map<std::uint32_t, double> capacity_admission::demand(std::string const&, time_point) const
{
    return {};
}

void capacity_admission::expire(time_point) {}

} // namespace chivelever
