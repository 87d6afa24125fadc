#include "standins/common_flows.hpp"

#include "standins/common_payload.hpp"

namespace chivelever::standins
{

namespace
{

constexpr auto open_timeout = std::chrono::seconds(5);
constexpr auto keep_alive_interval = milliseconds(250);
constexpr auto gap_timeout = std::chrono::seconds(2);
constexpr auto silence_timeout = std::chrono::seconds(3);
constexpr auto gap_report_interval = milliseconds(50);
constexpr std::uint32_t upload_window = 16;
constexpr auto upload_check_interval = milliseconds(50);
constexpr auto upload_resend_after = milliseconds(200);

std::string counter_prefix(flow_kind kind)
{
    return kind == flow_kind::stream ? "streams" : "uploads";
}

} // namespace

flow_load::flow_load(caller_port& port, flow_settings settings)
    : port_(port), settings_(std::move(settings))
{
}

void flow_load::start()
{
    open_streams(settings_.streams);
    for (std::size_t i = 0; i < settings_.uploads; ++i)
        open_uploads();
}

void flow_load::open_streams(std::size_t left)
{
    if (left == 0)
        return;
    open(settings_.stream_services[left % settings_.stream_services.size()], flow_kind::stream);
    port_.timers().after(std::chrono::duration_cast<steady::duration>(
                             std::chrono::duration<double>(1 / settings_.open_rate)),
                         [this, left] { open_streams(left - 1); });
}

void flow_load::open_uploads()
{
    if (uploads_started_ == settings_.upload_total || finishing_)
        return;
    open(settings_.upload_services[uploads_started_ % settings_.upload_services.size()],
         flow_kind::upload);
    ++uploads_started_;
    ++active_uploads_;
}

void flow_load::open(service_id service, flow_kind kind)
{
    auto const f = std::make_shared<long_lived_flow>();
    f->service = service;
    f->kind = kind;
    f->socket = port_.next_socket();
    ++counts_[counter_prefix(kind) + "_wanted"];
    port_.open(service, kind, f->socket, open_timeout,
               [this, f](std::string const& id, packet_status status)
               {
                   if (!id.empty())
                   {
                       f->id = id;
                       return on_open(f);
                   }
                   ++counts_[counter_prefix(f->kind) + "_refused"];
                   ++reasons_["refused_" + std::string(to_text(status))];
                   if (f->kind == flow_kind::upload)
                       --active_uploads_;
               });
}

void flow_load::on_open(flow_ptr const& f)
{
    ++counts_[counter_prefix(f->kind) + "_opened"];
    flows_.insert(f);
    f->last_received = f->last_progress = steady::now();
    port_.on_flow(f->id, [this, f](packet_view const& p) { on_packet(f, p); });
    if (f->kind == flow_kind::stream)
        keep_alive(f);
    else
        continue_upload(f);
}

// Closes the flow. A broken flow is replaced to keep the load constant.
void flow_load::end(flow_ptr const& f, std::string const& reason)
{
    f->ended = true;
    port_.timers().cancel(f->timer);
    port_.forget_flow(f->id);
    port_.close(f->socket, f->service, f->kind, f->id);
    flows_.erase(f);
    ++counts_[counter_prefix(f->kind) + (reason.empty() ? "_whole" : "_broken")];
    if (!reason.empty())
        ++reasons_[counter_prefix(f->kind) + "_" + reason];
    if (f->upstream)
        ++per_upstream_[f->upstream->value];
    if (f->kind == flow_kind::upload)
    {
        --active_uploads_;
        open_uploads();
    }
    else if (!reason.empty() && !finishing_)
        open(f->service, f->kind);
}

void flow_load::on_packet(flow_ptr const& f, packet_view const& p)
{
    if (p.kind == packet_kind::given_up)
        return end(f, "given_up_" + std::string(to_text(p.status)));
    if (p.kind != packet_kind::data)
    {
        ++counts_["unexpected"];
        return;
    }
    f->last_received = steady::now();
    if (f->kind == flow_kind::stream)
        on_stream(f, p);
    else
        on_upload(f, p);
}

void flow_load::keep_alive(flow_ptr const& f)
{
    auto const now = steady::now();
    if (now - f->last_received > silence_timeout)
        return end(f, "silent");
    if (!f->out_of_order.empty() && now - f->gap_since > gap_timeout)
        return end(f, "gap");
    send_acknowledgement(*f);
    f->timer = port_.timers().after(keep_alive_interval, [this, f] { keep_alive(f); });
}

void flow_load::send_acknowledgement(long_lived_flow const& f)
{
    packet_view p;
    p.kind = packet_kind::data;
    p.flow = flow_kind::stream;
    p.service = f.service;
    p.acknowledged = f.next_expected;
    p.flow_id = f.id;
    std::string const payload = stream_request_payload(f.service, settings_.stream_rate, 0);
    p.payload = payload;
    port_.send(f.socket, p);
}

void flow_load::on_stream(flow_ptr const& f, packet_view const& p)
{
    auto const upstream = check_stream_packet(p.payload, f->service, p.sequence);
    if (!upstream)
        return end(f, "wrong_content");
    if (f->upstream && *f->upstream != *upstream)
        return end(f, "other_upstream");
    f->upstream = upstream;
    auto const now = steady::now();
    if (p.sequence < f->next_expected)
        ++counts_["stream_packets_repeated"];
    else if (p.sequence > f->next_expected)
    {
        if (f->out_of_order.empty())
            f->gap_since = now;
        f->out_of_order.insert(p.sequence);
        if (now - f->gap_reported_at > gap_report_interval)
        {
            f->gap_reported_at = now;
            ++counts_["stream_gaps"];
            send_acknowledgement(*f);
        }
    }
    else
    {
        ++f->next_expected;
        ++counts_["stream_packets"];
        while (f->out_of_order.erase(f->next_expected) != 0)
        {
            ++f->next_expected;
            ++counts_["stream_packets"];
        }
        f->gap_since = now;
    }
}

void flow_load::continue_upload(flow_ptr const& f)
{
    auto const now = steady::now();
    if (now - f->last_progress > silence_timeout)
        return end(f, "silent");
    if (f->next > f->base && now - std::max(f->last_progress, f->last_resend) > upload_resend_after)
    {
        f->last_resend = now;
        ++counts_["upload_resends"];
        for (std::uint32_t s = f->base; s < f->next; ++s)
            send_upload_packet(*f, s);
    }
    fill_window(*f);
    f->timer = port_.timers().after(upload_check_interval, [this, f] { continue_upload(f); });
}

void flow_load::fill_window(long_lived_flow& f)
{
    while (f.next < settings_.upload_packets && f.next < f.base + upload_window)
    {
        f.digest = hash_bytes(upload_payload(f.service, f.next, settings_.upload_bytes), f.digest);
        send_upload_packet(f, f.next++);
    }
}

void flow_load::send_upload_packet(long_lived_flow const& f, std::uint32_t sequence)
{
    packet_view p;
    p.kind = packet_kind::data;
    p.flow = flow_kind::upload;
    p.service = f.service;
    p.sequence = sequence;
    p.final = sequence + 1 == settings_.upload_packets;
    p.flow_id = f.id;
    std::string const payload = upload_payload(f.service, sequence, settings_.upload_bytes);
    p.payload = payload;
    ++counts_["upload_packets_sent"];
    port_.send(f.socket, p);
}

void flow_load::on_upload(flow_ptr const& f, packet_view const& p)
{
    if (p.acknowledged < f->base)
        return; // a reordered older acknowledgement
    if (p.final)
    {
        auto const upstream = check_answer(p.payload, f->service, std::to_string(f->digest));
        f->upstream = upstream;
        return end(f, upstream ? "" : "wrong_content");
    }
    if (p.acknowledged > f->base)
    {
        f->base = p.acknowledged;
        f->last_progress = steady::now();
        fill_window(*f);
    }
}

void flow_load::finish()
{
    finishing_ = true;
    for (flow_ptr const& f : std::set(flows_))
        end(f, f->kind == flow_kind::upload ? "unfinished" : "");
}

std::uint64_t flow_load::count(std::string const& name) const
{
    auto const it = counts_.find(name);
    return it == counts_.end() ? 0 : it->second;
}

json::object flow_load::report() const
{
    json::object upstreams;
    for (auto const& [id, flows] : per_upstream_)
        upstreams[std::to_string(id)] = flows;
    return {{"counts", to_json(counts_)},
            {"reasons", to_json(reasons_)},
            {"flows_per_upstream", upstreams}};
}

} // namespace chivelever::standins
