#include "standins/common_flows.hpp"

#include "standins/common_payload.hpp"

namespace chivelever::standins
{

namespace
{

constexpr auto open_limit = std::chrono::seconds(5);
constexpr auto keep_alive_interval = milliseconds(250);
constexpr auto gap_limit = std::chrono::seconds(2);
constexpr auto silence_limit = std::chrono::seconds(3);
constexpr auto gap_tell_interval = milliseconds(50);
constexpr std::uint32_t upload_window = 16;
constexpr auto upload_check_interval = milliseconds(50);
constexpr auto upload_resend_after = milliseconds(200);

std::string plural(flow_kind kind)
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
    ++live_uploads_;
}

void flow_load::open(service_id service, flow_kind kind)
{
    auto const f = std::make_shared<long_flow>();
    f->service = service;
    f->kind = kind;
    f->socket = port_.next_socket();
    ++counts_[plural(kind) + "_wanted"];
    port_.open(service, kind, f->socket, open_limit,
               [this, f](std::string const& id, packet_status status)
               {
                   if (!id.empty())
                   {
                       f->id = id;
                       return begin(f);
                   }
                   ++counts_[plural(f->kind) + "_refused"];
                   ++reasons_["refused_" + std::string(to_text(status))];
                   if (f->kind == flow_kind::upload)
                       --live_uploads_;
               });
}

void flow_load::begin(flow_ptr const& f)
{
    ++counts_[plural(f->kind) + "_opened"];
    flows_.insert(f);
    f->heard = f->progress = steady::now();
    port_.on_flow(f->id, [this, f](packet_view const& p) { on_packet(f, p); });
    if (f->kind == flow_kind::stream)
        keep_alive(f);
    else
        drive_upload(f);
}

// Closes the flow. A broken flow is replaced, so that the load stays the same.
void flow_load::end(flow_ptr const& f, std::string const& reason)
{
    f->over = true;
    port_.timers().cancel(f->alarm);
    port_.forget_flow(f->id);
    port_.close(f->socket, f->service, f->kind, f->id);
    flows_.erase(f);
    ++counts_[plural(f->kind) + (reason.empty() ? "_whole" : "_broken")];
    if (!reason.empty())
        ++reasons_[plural(f->kind) + "_" + reason];
    if (f->upstream)
        ++per_upstream_[f->upstream->value];
    if (f->kind == flow_kind::upload)
    {
        --live_uploads_;
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
    f->heard = steady::now();
    if (f->kind == flow_kind::stream)
        on_stream(f, p);
    else
        on_upload(f, p);
}

void flow_load::keep_alive(flow_ptr const& f)
{
    auto const now = steady::now();
    if (now - f->heard > silence_limit)
        return end(f, "silent");
    if (!f->ahead.empty() && now - f->gap_since > gap_limit)
        return end(f, "gap");
    send_wanted(*f);
    f->alarm = port_.timers().after(keep_alive_interval, [this, f] { keep_alive(f); });
}

void flow_load::send_wanted(long_flow const& f)
{
    packet_view p;
    p.kind = packet_kind::data;
    p.flow = flow_kind::stream;
    p.service = f.service;
    p.acknowledged = f.wanted;
    p.flow_id = f.id;
    std::string const payload = stream_payload(f.service, settings_.stream_rate, 0);
    p.payload = payload;
    port_.send(f.socket, p);
}

void flow_load::on_stream(flow_ptr const& f, packet_view const& p)
{
    auto const upstream = check_pushed(p.payload, f->service, p.sequence);
    if (!upstream)
        return end(f, "wrong_content");
    if (f->upstream && *f->upstream != *upstream)
        return end(f, "other_upstream");
    f->upstream = upstream;
    auto const now = steady::now();
    if (p.sequence < f->wanted)
        ++counts_["stream_packets_repeated"];
    else if (p.sequence > f->wanted)
    {
        if (f->ahead.empty())
            f->gap_since = now;
        f->ahead.insert(p.sequence);
        if (now - f->gap_told > gap_tell_interval)
        {
            f->gap_told = now;
            ++counts_["stream_gaps"];
            send_wanted(*f);
        }
    }
    else
    {
        ++f->wanted;
        ++counts_["stream_packets"];
        while (f->ahead.erase(f->wanted) != 0)
        {
            ++f->wanted;
            ++counts_["stream_packets"];
        }
        f->gap_since = now;
    }
}

void flow_load::drive_upload(flow_ptr const& f)
{
    auto const now = steady::now();
    if (now - f->progress > silence_limit)
        return end(f, "silent");
    if (f->next > f->base && now - std::max(f->progress, f->resent) > upload_resend_after)
    {
        f->resent = now;
        ++counts_["upload_resends"];
        for (std::uint32_t s = f->base; s < f->next; ++s)
            send_part(*f, s);
    }
    fill_window(*f);
    f->alarm = port_.timers().after(upload_check_interval, [this, f] { drive_upload(f); });
}

void flow_load::fill_window(long_flow& f)
{
    while (f.next < settings_.upload_packets && f.next < f.base + upload_window)
    {
        f.digest = hash_bytes(upload_payload(f.service, f.next, settings_.upload_bytes), f.digest);
        send_part(f, f.next++);
    }
}

void flow_load::send_part(long_flow const& f, std::uint32_t sequence)
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
        return; // an older acknowledgement that was overtaken
    if (p.final)
    {
        auto const upstream = check_answer(p.payload, f->service, std::to_string(f->digest));
        f->upstream = upstream;
        return end(f, upstream ? "" : "wrong_content");
    }
    if (p.acknowledged > f->base)
    {
        f->base = p.acknowledged;
        f->progress = steady::now();
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
