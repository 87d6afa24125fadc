#include "standins/common_upstream.hpp"

#include "standins/common_payload.hpp"

namespace chivelever::standins
{

namespace
{

constexpr auto crash_duration = std::chrono::seconds(2);
// After an unannounced cold restart an upstream sheds excess requests for this time from the first
// one; excess requests after that overload it.
constexpr auto excess_grace_period = milliseconds(500);
constexpr auto flow_idle_timeout = std::chrono::seconds(10);
constexpr auto min_resend_age = milliseconds(50); // newer packets may still be in flight
constexpr std::size_t stream_window = 64;         // unacknowledged packets
constexpr std::uint32_t resend_burst = 32;
constexpr std::uint32_t max_out_of_order_packets = 256;
constexpr std::uint32_t max_stream_rate = 10'000;

} // namespace

upstream::upstream(asio::io_context& io, timer_queue& timers, execution_register& executions,
                   upstream_settings settings, std::uint64_t seed)
    : io_(io), timers_(timers), executions_(executions), settings_(std::move(settings)),
      random_(seed)
{
    open_socket();
}

void upstream::open_socket()
{
    socket_ = std::make_unique<udp_socket>(io_, settings_.address,
                                           [this](endpoint from, std::string_view bytes)
                                           { handle(from, bytes); });
}

void upstream::handle(endpoint from, std::string_view bytes)
{
    if (steady::now() < unresponsive_until_)
        return;
    auto const packet = codec_.decode(bytes);
    if (!packet)
    {
        ++count_.undecodable;
        return;
    }
    switch (packet->kind)
    {
    case packet_kind::request:
        check_service(*packet);
        return on_request(from, *packet);
    case packet_kind::data:
        check_service(*packet);
        return on_data(from, *packet);
    case packet_kind::cancel:
        return on_cancel(from, *packet);
    case packet_kind::close:
        flows_.erase(std::string(packet->flow_id));
        return;
    default:
        ++count_.undecodable;
    }
}

void upstream::check_service(packet_view const& p)
{
    auto const fields = parse_caller_payload(p.payload);
    bool const correct = p.service == settings_.service &&
                         (p.payload.empty() || (fields && fields->service == settings_.service));
    if (!correct)
        ++count_.misrouted;
}

void upstream::on_request(endpoint from, packet_view const& p)
{
    ++count_.requests;
    if (running_.contains({from.packed(), p.request.value}))
    {
        ++count_.repeated_attempts;
        return;
    }
    if (admit(from, p))
        start(from, p);
}

// Returns false if the request was shed or crashed the upstream.
bool upstream::admit(endpoint from, packet_view const& p)
{
    bool shed = draining_ || running_.size() >= settings_.slots;
    if (!shed && cold_ && !running_.empty())
    {
        ++count_.cold_excess;
        if (unannounced_restart_ && !excess_grace_end_)
            excess_grace_end_ = steady::now() + excess_grace_period;
        if (!excess_grace_end_ || steady::now() > *excess_grace_end_)
        {
            crash();
            return false;
        }
        shed = true;
    }
    if (!shed)
        return true;
    ++count_.shed;
    packet_view answer = p;
    answer.kind = packet_kind::answer;
    answer.status = packet_status::shed;
    answer.payload = {};
    reply(from, answer);
    return false;
}

void upstream::start(endpoint from, packet_view const& p)
{
    ++count_.runs;
    auto const fields = parse_caller_payload(p.payload);
    if (fields && !p.idempotent && ++executions_.runs[fields->first] > 1)
        ++executions_.duplicates;
    auto const needed = service_time();
    auto const allowed = milliseconds(p.deadline_ms);
    bool const expires = p.deadline_ms != 0 && needed > allowed;
    attempt_key const key{from.packed(), p.request.value};
    attempt& a = running_[key];
    a.flow_id = p.flow_id;
    a.payload = p.payload;
    a.caller = p.caller;
    a.end = timers_.after(
        expires ? allowed : needed, [this, key, expires]
        { finish(key, expires ? packet_status::deadline_exceeded : packet_status::ok); });
    count_.max_outstanding = std::max<std::uint64_t>(count_.max_outstanding, running_.size());
}

void upstream::finish(attempt_key const& key, packet_status status)
{
    auto const node = running_.extract(key);
    if (node.empty())
        return;
    attempt const& a = node.mapped();
    packet_view answer;
    answer.kind = packet_kind::answer;
    answer.flow = flow_kind::request;
    answer.status = status;
    answer.service = settings_.service;
    answer.request = {key.request};
    answer.caller = a.caller;
    answer.flow_id = a.flow_id;
    std::string payload;
    if (status == packet_status::ok)
    {
        payload = answer_payload(settings_.service, settings_.id, a.payload);
        ++count_.answers;
        if (cold_ && ++cold_answers_ >= settings_.warm_answers)
            cold_ = unannounced_restart_ = false;
    }
    else
        ++(status == packet_status::cancelled ? count_.cancelled : count_.expired);
    answer.payload = payload;
    reply(endpoint::from_packed(key.source), answer);
}

void upstream::on_cancel(endpoint from, packet_view const& p)
{
    attempt_key const key{from.packed(), p.request.value};
    auto const it = running_.find(key);
    if (it == running_.end())
        return;
    timers_.cancel(it->second.end);
    finish(key, packet_status::cancelled);
}

void upstream::on_data(endpoint from, packet_view const& p)
{
    std::string const id(p.flow_id);
    auto const [it, added] = flows_.try_emplace(id);
    flow& f = it->second;
    f.source = from;
    f.caller = p.caller;
    f.last_received = steady::now();
    if (added)
    {
        f.kind = p.flow;
        ++(p.flow == flow_kind::stream ? count_.streams : count_.uploads);
        if (flows_.size() > settings_.connections)
            ++count_.connection_overloads;
    }
    if (p.flow == flow_kind::stream)
        on_stream(id, f, p);
    else
        on_upload(id, f, p);
}

void upstream::on_stream(std::string const& id, flow& f, packet_view const& p)
{
    auto const fields = parse_caller_payload(p.payload);
    if (f.interval == steady::duration{} && fields)
    {
        // Starts at the caller's sequence number, so that a stream continues after a restart of
        // this upstream.
        f.base = p.acknowledged;
        f.count = static_cast<std::uint32_t>(fields->second);
        auto const rate = std::clamp<std::uint64_t>(fields->first, 1, max_stream_rate);
        f.interval = steady::duration(std::chrono::seconds(1)) / rate;
        send_next_stream_packet(id, generation_);
        return;
    }
    while (f.base < p.acknowledged && !f.sent.empty())
    {
        f.sent.pop_front();
        ++f.base;
    }
    auto const now = steady::now();
    for (std::uint32_t i = 0; i < std::min<std::size_t>(f.sent.size(), resend_burst); ++i)
        if (now - f.sent[i] >= min_resend_age)
        {
            f.sent[i] = now;
            ++count_.resent;
            send_stream_packet(id, f, f.base + i);
        }
}

void upstream::send_next_stream_packet(std::string const& id, std::uint64_t generation)
{
    auto const it = flows_.find(id);
    if (it == flows_.end() || generation != generation_)
        return;
    flow& f = it->second;
    if (steady::now() - f.last_received > flow_idle_timeout)
    {
        flows_.erase(it);
        return;
    }
    std::uint32_t const next = f.base + static_cast<std::uint32_t>(f.sent.size());
    if (f.sent.size() < stream_window && (f.count == 0 || next < f.count))
    {
        f.sent.push_back(steady::now());
        ++count_.stream_packets_sent;
        send_stream_packet(id, f, next);
    }
    timers_.after(f.interval, [this, id, generation] { send_next_stream_packet(id, generation); });
}

void upstream::send_stream_packet(std::string const& id, flow const& f, std::uint32_t sequence)
{
    packet_view p;
    p.kind = packet_kind::data;
    p.flow = flow_kind::stream;
    p.service = settings_.service;
    p.sequence = sequence;
    p.final = f.count != 0 && sequence + 1 == f.count;
    p.caller = f.caller;
    p.flow_id = id;
    std::string const payload = stream_packet_payload(settings_.service, settings_.id, sequence);
    p.payload = payload;
    reply(f.source, p);
}

// Buffers out-of-order packets, because the fabric's random balancing reorders packets constantly,
// and acknowledges each packet with the next expected sequence number.
void upstream::on_upload(std::string const& id, flow& f, packet_view const& p)
{
    if (p.final)
        f.last = p.sequence;
    if (p.sequence >= f.base && p.sequence < f.base + max_out_of_order_packets)
        f.out_of_order.emplace(p.sequence, p.payload);
    for (auto it = f.out_of_order.find(f.base); it != f.out_of_order.end();
         it = f.out_of_order.find(f.base))
    {
        f.digest = hash_bytes(it->second, f.digest);
        f.complete = f.last == f.base;
        f.out_of_order.erase(it);
        ++f.base;
    }
    packet_view answer;
    answer.kind = packet_kind::data;
    answer.flow = flow_kind::upload;
    answer.service = settings_.service;
    answer.acknowledged = f.base;
    answer.final = f.complete;
    answer.caller = f.caller;
    answer.flow_id = id;
    std::string const payload =
        answer_payload(settings_.service, settings_.id, std::to_string(f.digest));
    answer.payload = payload;
    reply(f.source, answer);
}

void upstream::reply(endpoint to, packet_view const& p)
{
    if (socket_)
        socket_->send(to, reply_codec_.encode(p));
}

void upstream::restart_cold(bool unannounced)
{
    cold_ = true;
    cold_answers_ = 0;
    unannounced_restart_ = unannounced;
    excess_grace_end_.reset();
}

void upstream::crash()
{
    ++count_.overloads;
    unresponsive_until_ = steady::now() + crash_duration;
    for (auto const& [key, a] : running_)
        timers_.cancel(a.end);
    running_.clear();
    restart_cold(true);
}

void upstream::drop_work()
{
    ++generation_;
    for (auto const& [key, a] : running_)
        timers_.cancel(a.end);
    running_.clear();
    flows_.clear();
}

steady::duration upstream::service_time()
{
    double ms = settings_.service_ms;
    if (settings_.distribution == "exponential")
        ms = std::exponential_distribution<double>(1 / ms)(random_);
    else if (settings_.distribution == "lognormal")
        ms = std::lognormal_distribution<double>(std::log(ms), 0.5)(random_);
    else if (settings_.distribution == "uniform")
        ms = std::uniform_real_distribution<double>(ms / 2, ms * 3 / 2)(random_);
    return std::chrono::duration_cast<steady::duration>(
        std::chrono::duration<double, std::milli>(ms * slow_factor_));
}

bool upstream::command(std::string_view name, double value)
{
    if (name == "cold") // an unannounced restart: running requests are lost
    {
        for (auto const& [key, a] : running_)
            timers_.cancel(a.end);
        running_.clear();
        restart_cold(true);
    }
    else if (name == "drain")
        draining_ = true;
    else if (name == "die")
    {
        drop_work();
        socket_.reset();
    }
    else if (name == "return")
    {
        draining_ = false;
        restart_cold(false);
        if (!socket_)
            open_socket();
    }
    else if (name == "mislead" || name == "honest")
        reports_false_health_ = name == "mislead";
    else if (name == "slow")
        slow_factor_ = value > 0 ? value : 1;
    else
        return false;
    return true;
}

json::object upstream::health() const
{
    bool const healthy = socket_ && !draining_ && steady::now() >= unresponsive_until_;
    return {{"id", settings_.id.value},
            {"healthy", healthy != reports_false_health_},
            {"load", reports_false_health_ ? 0 : running_.size()}};
}

json::object upstream::report() const
{
    counters const& c = count_;
    return {{"id", settings_.id.value},
            {"service", settings_.service.value},
            {"requests", c.requests},
            {"runs", c.runs},
            {"answers", c.answers},
            {"shed", c.shed},
            {"overloads", c.overloads},
            {"cold_surplus", c.cold_excess},
            {"cancelled", c.cancelled},
            {"expired", c.expired},
            {"misrouted", c.misrouted},
            {"undecodable", c.undecodable},
            {"repeated_attempts", c.repeated_attempts},
            {"streams", c.streams},
            {"uploads", c.uploads},
            {"open_flows", flows_.size()},
            {"connection_overloads", c.connection_overloads},
            {"pushed", c.stream_packets_sent},
            {"resent", c.resent},
            {"max_outstanding", c.max_outstanding},
            {"buffer_drops", socket_ ? socket_->receive_drops() : 0}};
}

} // namespace chivelever::standins
