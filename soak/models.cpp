#include "models.hpp"

#include "simulated_cluster.hpp"

#include <charconv>

namespace chivelever::soak
{

namespace
{
constexpr sim_time service_time = 25 * ms; // mean; exponential
constexpr int cold_slowdown = 3;
constexpr int fault_slowdown = 30;        // requests run until their deadline
constexpr double hang_probability = 0.02; // share of requests that run until their deadline
constexpr sim_time think_time = 60 * ms;  // mean pause of a caller between two actions
constexpr sim_time flow_lifetime = 20 * second;
constexpr sim_time initial_retry_interval = 250 * ms;
// Shorter than two key rotation intervals: ids of the last two epochs are accepted.
constexpr sim_time max_stream_age = 45 * second;
constexpr sim_time keep_alive_period = 250 * ms;
constexpr std::size_t max_streams = 3; // per caller, open at a time
constexpr sim_time open_timeout = 500 * ms;
constexpr sim_time request_retention = 45 * second; // longer than a request flow id is valid

std::string request_text(std::size_t submission)
{
    return "run:" + std::to_string(submission);
}
std::size_t submission_in(std::string const& text)
{
    std::size_t n = 0;
    std::from_chars(text.data() + 4, text.data() + text.size(), n);
    return n;
}
// The answer length depends on the request, so that truncated and mismatched answers are detected.
std::string answer_text(std::size_t submission)
{
    return "ran:" + std::to_string(submission) + ":" +
           std::string(1 + submission % 61, static_cast<char>('a' + submission % 26));
}
} // namespace

void server::replace(service_id s)
{
    restart_cold();
    unannounced_restart_ = false;
    service = s;
    alive = true;
}

void server::restart_cold()
{
    ++generation_;
    started_ = cluster_.sim.now();
    answered_ = 0;
    unannounced_restart_ = true;
    first_shed_received_.clear();
    running_.clear();
}

void server::receive(packet const& p, endpoint source)
{
    if (!alive)
        return;
    // Rule 2. Packets sent before this process took over the address are ignored.
    if (p.head.service != service)
    {
        if (p.sent >= started_)
            cluster_.sim.violation("2 another service",
                                   "host " + std::to_string(p.sender.host.value) + " sends kind " +
                                       std::to_string(static_cast<int>(p.head.kind)) +
                                       " of service " + std::to_string(p.head.service.value) +
                                       " to " + to_string(address_) + " of service " +
                                       std::to_string(service.value));
        return;
    }
    if (p.head.kind == packet_kind::request)
        return request(p, source);
    if (p.head.kind == packet_kind::cancel && running_.erase(p.head.request.value) != 0)
        return answer(p, source, packet_status::cancelled);
    if (p.head.kind == packet_kind::data)
    {
        packet const& echo = p;
        cluster_.send_to_host(zone_, address_, source, echo);
    }
}

// Rule 3: the running requests and the arriving one do not exceed the capacity of the server.
// Two kinds of excess load are no violation and are only counted:
// - excess_late: the excess is due to packets delayed for longer than channel::max_normal_delay.
// The
//   executor frees a slot at the attempt's deadline, when the server may still run a late request.
// - excess_before_notice: after an unannounced cold restart, until the sender receives its first
//   shed answer since the restart, because it cannot know of the restart earlier.
void server::check_load(packet const& p)
{
    auto const on_time = static_cast<std::uint32_t>(std::count_if(
        running_.begin(), running_.end(), [](auto const& r) { return !r.second.late; }));
    if (running_.size() + 1 <= capacity())
        return;
    auto const shed_notice = first_shed_received_.find(p.sender);
    if (cluster_.sim.now() - p.sent > channel::max_normal_delay || on_time + 1 <= capacity())
        ++cluster_.count.excess_late;
    else if (unannounced_restart_ &&
             (shed_notice == first_shed_received_.end() || shed_notice->second >= p.sent))
        ++cluster_.count.excess_before_notice;
    else if (cluster_.check_load)
        cluster_.sim.violation("3 overload", to_string(address_) + " has capacity " +
                                                 std::to_string(capacity()) + ", runs " +
                                                 std::to_string(on_time) + ", one more from host " +
                                                 std::to_string(p.sender.host.value));
}

void server::request(packet const& p, endpoint source)
{
    std::uint64_t const attempt = p.head.request.value;
    if (!seen_.insert(attempt).second)
        return;
    check_load(p);
    if (cluster_.sim.now() < shedding_until || running_.size() >= capacity())
        return answer(p, source, packet_status::shed);
    std::size_t const submission_index = submission_in(p.payload);
    submission_record& s = cluster_.submissions[submission_index];
    operation_record& o = cluster_.operations[s.operation];
    if (s.refused)
        cluster_.sim.violation("6 not_run", "a request runs after it was answered not_run");
    s.ran = true;
    if (++o.runs > 1 && !o.idempotent)
        cluster_.sim.violation("7 at most once", "operation " + std::to_string(s.operation) +
                                                     " runs again, by host " +
                                                     std::to_string(p.sender.host.value));
    running_.emplace(
        attempt, run{submission_index, cluster_.sim.now() - p.sent > channel::max_normal_delay});
    sim_time const deadline = p.head.deadline_ms * ms;
    sim_time mean_duration = service_time * (capacity() < slots_ ? cold_slowdown : 1);
    mean_duration *= cluster_.sim.now() < slow_until ? fault_slowdown : 1;
    sim_time const service_duration = cluster_.sim.chance(hang_probability)
                                          ? deadline
                                          : 1 * ms + cluster_.sim.exponential(mean_duration);
    bool const exceeds_deadline = service_duration >= deadline;
    cluster_.sim.after(exceeds_deadline ? deadline : service_duration,
                       [this, p, source, attempt, generation = generation_, exceeds_deadline]
                       {
                           if (generation != generation_ || !alive || running_.erase(attempt) == 0)
                               return;
                           answered_ += exceeds_deadline ? 0 : 1;
                           answer(p, source,
                                  exceeds_deadline ? packet_status::deadline_exceeded
                                                   : packet_status::ok);
                       });
}

void server::answer(packet const& p, endpoint to, packet_status status)
{
    packet a = p;
    a.head.kind = packet_kind::answer;
    a.head.status = status;
    a.payload = status == packet_status::ok ? answer_text(submission_in(p.payload)) : "";
    bool const shed_notice = status == packet_status::shed && p.sent >= started_;
    cluster_.send_to_host(zone_, address_, to, a,
                          [this, shed_notice, generation = generation_](host_instance at)
                          {
                              if (shed_notice && generation == generation_)
                                  first_shed_received_.emplace(at, cluster_.sim.now());
                          });
}

caller::caller(simulated_cluster& cluster, endpoint address, service_id service)
    : cluster_(cluster), address_(address), service_(service)
{
}

void caller::start()
{
    cluster_.sim.after(cluster_.sim.exponential(think_time),
                       [this]
                       {
                           if (!cluster_.recovering)
                               perform_action();
                           start();
                       });
}

void caller::perform_action()
{
    if (cluster_.sim.chance(0.05))
        std::erase_if(pending_, [this](auto const& p)
                      { return p.second.deadline + request_retention < cluster_.sim.now(); });
    if (live_streams_ < max_streams && cluster_.sim.chance(0.05))
        return open(cluster_.sim.chance(0.5) ? flow_kind::stream : flow_kind::upload);
    if (flow_.empty() || cluster_.sim.now() - flow_opened_ > flow_lifetime)
        return open(flow_kind::request);
    // Occasionally resends an old request, as a caller that missed the answer does.
    if (!pending_.empty() && cluster_.sim.chance(0.03))
    {
        auto const i = std::next(pending_.begin(),
                                 static_cast<std::ptrdiff_t>(cluster_.sim.below(pending_.size())));
        return send(i->second.request);
    }
    cluster_.operations.push_back({cluster_.sim.chance(0.4), 0});
    submit(cluster_.operations.size() - 1);
}

void caller::open(flow_kind kind)
{
    bool const waiting = std::any_of(opens_.begin(), opens_.end(),
                                     [kind](auto const& o) { return o.second == kind; });
    if (waiting)
        return;
    packet p;
    p.head.kind = packet_kind::open;
    p.head.flow = kind;
    p.head.service = service_;
    p.head.request = {next_id_++};
    opens_[p.head.request.value] = kind;
    send(p);
    if (cluster_.sim.chance(0.2))
        send(p);
    cluster_.sim.after(open_timeout, [this, id = p.head.request.value] { opens_.erase(id); });
}

void caller::submit(std::size_t operation)
{
    cluster_.submissions.push_back({operation, false, false});
    ++cluster_.count.requests;
    std::uint64_t const id = next_id_++;
    pending& r = pending_[id];
    r.submission = cluster_.submissions.size() - 1;
    sim_time const time_left = cluster_.sim.between(100 * ms, 1'600 * ms);
    r.deadline = cluster_.sim.now() + time_left;
    packet& p = r.request;
    p.head.kind = packet_kind::request;
    p.head.flow = flow_kind::request;
    p.head.service = service_;
    p.head.request = {id};
    p.head.idempotent = cluster_.operations[operation].idempotent;
    p.head.deadline_ms = static_cast<std::uint32_t>(time_left / ms);
    p.flow_id = flow_;
    p.payload = request_text(r.submission);
    if (cluster_.sim.chance(0.01)) // the cancel overtakes its request
        cancel(id);
    send(p);
    resend(id, initial_retry_interval, 3);
    if (cluster_.sim.chance(0.04))
        cluster_.sim.after(cluster_.sim.between(0, 200 * ms), [this, id] { cancel(id); });
}

void caller::cancel(std::uint64_t request)
{
    auto const r = pending_.find(request);
    if (r == pending_.end() || r->second.done)
        return;
    packet p = r->second.request;
    p.head.kind = packet_kind::cancel;
    p.payload.clear();
    send(p);
}

void caller::resend(std::uint64_t request, sim_time pause, int attempts_left)
{
    cluster_.sim.after(pause,
                       [this, request, pause, attempts_left]
                       {
                           auto const r = pending_.find(request);
                           if (r == pending_.end() || r->second.done || attempts_left == 0)
                               return;
                           packet p = r->second.request;
                           sim_time const rest =
                               std::max<sim_time>(r->second.deadline - cluster_.sim.now(), ms);
                           p.head.deadline_ms = static_cast<std::uint32_t>(rest / ms);
                           send(p);
                           resend(request, pause * 2, attempts_left - 1);
                       });
}

void caller::send(packet p)
{
    cluster_.send_from_caller(address_, std::move(p));
}

submission_record* caller::submission_of(std::uint64_t request)
{
    auto const r = pending_.find(request);
    return r == pending_.end() ? nullptr : &cluster_.submissions[r->second.submission];
}

void caller::opened(flow_id const& id, std::string const& encoded)
{
    issued_.emplace(encoded, id);
}

void caller::receive(packet const& p)
{
    switch (p.head.kind)
    {
    case packet_kind::opened:
        return on_opened(p);
    case packet_kind::data:
        return on_data(p);
    case packet_kind::given_up:
        for (stream& s : streams_)
            if (s.encoded == p.flow_id && !s.ended)
            {
                ++cluster_.count.given_up;
                cluster_.check.given_up(s.id, p.head.status);
                s.ended = true;
                --live_streams_;
                return;
            }
        [[fallthrough]];
    default:
        return on_answer(p);
    }
}

void caller::on_opened(packet const& p)
{
    auto const o = opens_.find(p.head.request.value);
    auto const id = issued_.find(p.flow_id);
    if (o == opens_.end() || id == issued_.end())
        return;
    if (o->second == flow_kind::request)
    {
        flow_ = p.flow_id;
        flow_opened_ = cluster_.sim.now();
    }
    else
    {
        ++cluster_.count.streams;
        ++live_streams_;
        streams_.push_back({id->second, p.flow_id, cluster_.sim.now(), cluster_.sim.now(), false});
        keep_alive(streams_.size() - 1);
    }
    opens_.erase(o);
    issued_.erase(id);
}

// Rule 5: an answer is complete and belongs to this caller's own request.
void caller::on_answer(packet const& p)
{
    auto const found = pending_.find(p.head.request.value);
    if (found == pending_.end() || p.flow_id.empty())
        return;
    pending& r = found->second;
    if (p.flow_id != r.request.flow_id)
        cluster_.sim.violation("5 own answer", "answer with another flow id");
    if (p.head.kind == packet_kind::answer && p.head.status == packet_status::ok &&
        p.payload != answer_text(r.submission))
        cluster_.sim.violation("5 own answer",
                               "got " + p.payload + " for " + std::to_string(r.submission));
    if (r.done)
        return;
    r.done = true;
    bool const not_run = p.head.status >= packet_status::not_run_overloaded &&
                         p.head.status <= packet_status::not_run_shutting_down;
    cluster_.count.answers += p.head.status == packet_status::ok ? 1 : 0;
    cluster_.count.not_run += not_run ? 1 : 0;
    cluster_.count.unknown += p.head.status == packet_status::outcome_unknown ? 1 : 0;
    if (p.head.status != packet_status::ok && p.head.status != packet_status::not_run_overloaded &&
        p.head.status != packet_status::deadline_exceeded && p.flow_id == flow_)
        flow_.clear();
    if (not_run && !flow_.empty() && !cluster_.recovering && cluster_.sim.chance(0.5))
        submit(cluster_.submissions[r.submission].operation);
}

void caller::on_data(packet const& p)
{
    for (std::size_t i = 0; i < streams_.size(); ++i)
        if (streams_[i].encoded == p.flow_id)
        {
            ++cluster_.count.echoes;
            streams_[i].last_echo = cluster_.sim.now();
            if (p.payload != "stream " + std::to_string(i))
                cluster_.sim.violation("5 own answer", "stream data of another stream");
        }
}

void caller::keep_alive(std::size_t index)
{
    stream& s = streams_[index];
    if (s.ended)
        return;
    packet p;
    p.head.flow = s.id.kind;
    p.head.service = service_;
    p.flow_id = s.encoded;
    bool const old = cluster_.sim.now() - s.opened > max_stream_age;
    bool const end = !cluster_.recovering && (old || cluster_.sim.chance(0.015));
    p.head.kind = end ? packet_kind::close : packet_kind::data;
    p.payload = end ? "" : "stream " + std::to_string(index);
    send(p);
    if (end)
    {
        s.ended = true;
        --live_streams_;
        return;
    }
    cluster_.sim.after(keep_alive_period, [this, index] { keep_alive(index); });
}

std::size_t caller::streams_without_echo_since(sim_time t) const
{
    return static_cast<std::size_t>(std::count_if(streams_.begin(), streams_.end(),
                                                  [&](stream const& s)
                                                  {
                                                      server const* const u =
                                                          cluster_.find_server(s.id.address);
                                                      return !s.ended && s.opened < t &&
                                                             s.last_echo < t && u != nullptr &&
                                                             u->alive && u->service == service_;
                                                  }));
}

bool caller::uses(endpoint address) const
{
    return std::any_of(streams_.begin(), streams_.end(),
                       [&](stream const& s) { return !s.ended && s.id.address == address; });
}

} // namespace chivelever::soak
