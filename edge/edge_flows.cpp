// Agreement with the hosts of the zone on the upstreams of flows.
#include "edge/edge_host.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace chivelever
{

namespace
{

// A row takes about 50 bytes.
constexpr std::size_t max_flows_per_datagram = 24;

// Hosts that tell a newcomer about the same flow; the newcomer itself may be one of the first by
// rank.
constexpr std::size_t hosts_telling_newcomers = 3;

// Splits a report into datagrams.
std::vector<std::string> encode_in_parts(flow_report const& r)
{
    std::vector<std::string> out;
    for (std::size_t at = 0; at < std::max(r.asked.size(), r.known.size());
         at += max_flows_per_datagram)
    {
        auto const part = [at](std::vector<flow_owner> const& rows)
        {
            auto const first =
                rows.begin() + static_cast<std::ptrdiff_t>(std::min(at, rows.size()));
            auto const size = std::min<std::ptrdiff_t>(max_flows_per_datagram, rows.end() - first);
            return std::vector<flow_owner>(first, first + size);
        };
        out.push_back(encode_flow_report({part(r.asked), part(r.known)}));
    }
    return out;
}

} // namespace

// Sends after the datagrams that are being read, so that those of one batch share a message.
void edge_host::schedule_flow_report()
{
    if (flow_report_scheduled_ || !router_.owners().has_messages())
        return;
    flow_report_scheduled_ = true;
    boost::asio::post(io_, [this] { send_flow_report(); });
}

void edge_host::send_flow_report()
{
    flow_report_scheduled_ = false;
    flow_report const report = router_.owners().take_messages();
    metrics_.count("flow_inquiries_total", "SYNs held to ask the zone for their upstream") +=
        report.asked.size();
    metrics_.count("flow_reports_total", "flows whose SYN may have reached two upstreams") +=
        report.known.size();
    auto const parts = encode_in_parts(report);
    for (peer_address const& p : peers_.all_peers())
        if (p.zone == settings_.zone)
            for (std::string const& bytes : parts)
                heartbeat_socket_->send({p.ip, settings_.peer_port}, bytes);
}

void edge_host::on_flow_report(std::string_view bytes, endpoint source)
{
    auto const report = decode_flow_report(bytes);
    if (!report)
        return refuse_peer_message(source);
    time_point const now = boot_time_now();
    flow_report answer;
    for (flow_owner const& asked : report->asked)
    {
        if (auto const owner = router_.owner_of(asked))
            answer.known.push_back(*owner);
        // Of two hosts that ask each other, the one with the lower address places the flow.
        else if (source.address < settings_.ip)
            router_.owners().release(asked);
    }
    for (std::string const& part : encode_in_parts(answer))
        heartbeat_socket_->send(source, part);
    for (flow_owner const& owner : report->known)
        if (auto const held = router_.learn(owner, now))
        {
            execute(held->decision, held->packet, now);
            log_decision(held->decision, held->packet, now);
        }
    schedule_flow_report();
    arm_retry_timer();
}

// A host that has just started receives packets of flows that opened before. A few hosts by rank
// tell it about each of them, since the one that reported the flow may have restarted itself.
void edge_host::report_flows_to(endpoint newcomer)
{
    time_point const now = boot_time_now();
    flow_report report;
    for (flow_owner const& o : router_.owners().all_reports())
        if (peers_.rank_in_zone(hash_value(o.flow), now) < hosts_telling_newcomers)
            report.known.push_back(o);
    for (std::string const& part : encode_in_parts(report))
        heartbeat_socket_->send(newcomer, part);
}

} // namespace chivelever
