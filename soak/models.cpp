#include "models.hpp"

#include "world.hpp"

#include <charconv>

namespace chivelever::soak
{

namespace
{
constexpr sim_time service_time = 25 * ms; // mean; exponential
constexpr int cold_factor = 3;
constexpr int slow_factor = 30;          // requests run up to their deadline
constexpr double hang_share = 0.02;      // of the requests, which run up to their deadline
constexpr sim_time think_time = 60 * ms; // mean pause of a caller between two actions
constexpr sim_time flow_lifetime = 20 * second;
constexpr sim_time repeat_pause = 250 * ms;
// Shorter than two pauses between key rotations: ids of the last two epochs are accepted.
constexpr sim_time max_stream_age = 45 * second;
constexpr sim_time keep_alive_period = 250 * ms;
constexpr std::size_t max_streams = 3; // per caller, open at a time
constexpr sim_time open_patience = 500 * ms;
constexpr sim_time memory = 45 * second; // longer than a request flow id is valid

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
// The answer has a length that depends on the request, so that a cut or crossed one shows.
std::string answer_text(std::size_t submission)
{
    return "ran:" + std::to_string(submission) + ":" +
           std::string(1 + submission % 61, static_cast<char>('a' + submission % 26));
}
} // namespace

void server::replace(service_id s)
{
    turn_cold();
    unannounced_ = false;
    service = s;
    alive = true;
}

void server::turn_cold()
{
    ++life_;
    started_ = w_.sim.now();
    answered_ = 0;
    unannounced_ = true;
    signs_.clear();
    running_.clear();
}

void server::receive(packet const& p, endpoint source)
{
    if (!alive)
        return;
    // Rule 2. A packet that was sent before this process took over the address is not counted.
    if (p.head.service != service)
    {
        if (p.sent >= started_)
            w_.sim.violation("2 another service",
                             "host " + std::to_string(p.sender.host.value) + " sends kind " +
                                 std::to_string(static_cast<int>(p.head.kind)) + " of service " +
                                 std::to_string(p.head.service.value) + " to " +
                                 to_string(address_) + " of service " +
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
        w_.send_to_host(zone_, address_, source, echo);
    }
}

// Rule 3: the requests that run, and the one that arrives, are no more than the server bears.
// Not counted are packets that were under way for longer than channel::prompt, since the executor
// gives a slot free when an attempt's deadline has passed. A surplus after an unannounced return to
// cold is counted apart until the sender has received its first shed answer from this life of the
// server: before that it cannot know.
void server::check_load(packet const& p)
{
    auto const prompt = static_cast<std::uint32_t>(std::count_if(
        running_.begin(), running_.end(), [](auto const& r) { return !r.second.late; }));
    if (running_.size() + 1 <= bears())
        return;
    auto const sign = signs_.find(p.sender);
    if (w_.sim.now() - p.sent > channel::prompt || prompt + 1 <= bears())
        ++w_.count.surplus_late;
    else if (unannounced_ && (sign == signs_.end() || sign->second >= p.sent))
        ++w_.count.surplus_unknown;
    else if (w_.check_load)
        w_.sim.violation("3 overload", to_string(address_) + " bears " + std::to_string(bears()) +
                                           ", runs " + std::to_string(prompt) +
                                           ", one more from host " +
                                           std::to_string(p.sender.host.value));
}

void server::request(packet const& p, endpoint source)
{
    std::uint64_t const attempt = p.head.request.value;
    if (!seen_.insert(attempt).second)
        return;
    check_load(p);
    if (w_.sim.now() < shedding_until || running_.size() >= bears())
        return answer(p, source, packet_status::shed);
    std::size_t const number = submission_in(p.payload);
    submission_record& s = w_.submissions[number];
    operation_record& o = w_.operations[s.operation];
    if (s.refused)
        w_.sim.violation("6 not_run", "a request runs after it was answered not_run");
    s.ran = true;
    if (++o.runs > 1 && !o.idempotent)
        w_.sim.violation("7 at most once", "operation " + std::to_string(s.operation) +
                                               " runs again, by host " +
                                               std::to_string(p.sender.host.value));
    running_.emplace(attempt, run{number, w_.sim.now() - p.sent > channel::prompt});
    sim_time const deadline = p.head.deadline_ms * ms;
    sim_time mean = service_time * (bears() < slots_ ? cold_factor : 1);
    mean *= w_.sim.now() < slow_until ? slow_factor : 1;
    sim_time const time = w_.sim.chance(hang_share) ? deadline : 1 * ms + w_.sim.exponential(mean);
    bool const over = time >= deadline;
    w_.sim.after(over ? deadline : time,
                 [this, p, source, attempt, life = life_, over]
                 {
                     if (life != life_ || !alive || running_.erase(attempt) == 0)
                         return;
                     answered_ += over ? 0 : 1;
                     answer(p, source, over ? packet_status::deadline_exceeded : packet_status::ok);
                 });
}

void server::answer(packet const& p, endpoint to, packet_status status)
{
    packet a = p;
    a.head.kind = packet_kind::answer;
    a.head.status = status;
    a.payload = status == packet_status::ok ? answer_text(submission_in(p.payload)) : "";
    bool const sign = status == packet_status::shed && p.sent >= started_;
    w_.send_to_host(zone_, address_, to, a,
                    [this, sign, life = life_](host_instance at)
                    {
                        if (sign && life == life_)
                            signs_.emplace(at, w_.sim.now());
                    });
}

caller::caller(world& w, endpoint address, service_id service)
    : w_(w), address_(address), service_(service)
{
}

void caller::start()
{
    w_.sim.after(w_.sim.exponential(think_time),
                 [this]
                 {
                     if (!w_.quiet)
                         act();
                     start();
                 });
}

void caller::act()
{
    if (w_.sim.chance(0.05))
        std::erase_if(pending_,
                      [this](auto const& p) { return p.second.deadline + memory < w_.sim.now(); });
    if (live_streams_ < max_streams && w_.sim.chance(0.05))
        return open(w_.sim.chance(0.5) ? flow_kind::stream : flow_kind::upload);
    if (flow_.empty() || w_.sim.now() - flow_opened_ > flow_lifetime)
        return open(flow_kind::request);
    // Now and then something old comes again, as from a caller that missed the answer.
    if (!pending_.empty() && w_.sim.chance(0.03))
    {
        auto const i =
            std::next(pending_.begin(), static_cast<std::ptrdiff_t>(w_.sim.below(pending_.size())));
        return send(i->second.request);
    }
    w_.operations.push_back({w_.sim.chance(0.4), 0});
    submit(w_.operations.size() - 1);
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
    if (w_.sim.chance(0.2))
        send(p);
    w_.sim.after(open_patience, [this, id = p.head.request.value] { opens_.erase(id); });
}

void caller::submit(std::size_t operation)
{
    w_.submissions.push_back({operation, false, false});
    ++w_.count.requests;
    std::uint64_t const id = next_id_++;
    pending& r = pending_[id];
    r.submission = w_.submissions.size() - 1;
    sim_time const left = w_.sim.between(100 * ms, 1'600 * ms);
    r.deadline = w_.sim.now() + left;
    packet& p = r.request;
    p.head.kind = packet_kind::request;
    p.head.flow = flow_kind::request;
    p.head.service = service_;
    p.head.request = {id};
    p.head.idempotent = w_.operations[operation].idempotent;
    p.head.deadline_ms = static_cast<std::uint32_t>(left / ms);
    p.flow_id = flow_;
    p.payload = request_text(r.submission);
    if (w_.sim.chance(0.01)) // the cancel overtakes its request
        cancel(id);
    send(p);
    resend(id, repeat_pause, 3);
    if (w_.sim.chance(0.04))
        w_.sim.after(w_.sim.between(0, 200 * ms), [this, id] { cancel(id); });
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

void caller::resend(std::uint64_t request, sim_time pause, int left)
{
    w_.sim.after(pause,
                 [this, request, pause, left]
                 {
                     auto const r = pending_.find(request);
                     if (r == pending_.end() || r->second.done || left == 0)
                         return;
                     packet p = r->second.request;
                     sim_time const rest =
                         std::max<sim_time>(r->second.deadline - w_.sim.now(), ms);
                     p.head.deadline_ms = static_cast<std::uint32_t>(rest / ms);
                     send(p);
                     resend(request, pause * 2, left - 1);
                 });
}

void caller::send(packet p)
{
    w_.send_from_caller(address_, std::move(p));
}

submission_record* caller::submission_of(std::uint64_t request)
{
    auto const r = pending_.find(request);
    return r == pending_.end() ? nullptr : &w_.submissions[r->second.submission];
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
                ++w_.count.given_up;
                w_.check.given_up(s.id, p.head.status);
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
        flow_opened_ = w_.sim.now();
    }
    else
    {
        ++w_.count.streams;
        ++live_streams_;
        streams_.push_back({id->second, p.flow_id, w_.sim.now(), w_.sim.now(), false});
        keep_alive(streams_.size() - 1);
    }
    opens_.erase(o);
    issued_.erase(id);
}

// Rule 5: an answer is the whole answer to this caller's own request.
void caller::on_answer(packet const& p)
{
    auto const found = pending_.find(p.head.request.value);
    if (found == pending_.end() || p.flow_id.empty())
        return;
    pending& r = found->second;
    if (p.flow_id != r.request.flow_id)
        w_.sim.violation("5 own answer", "answer with another flow id");
    if (p.head.kind == packet_kind::answer && p.head.status == packet_status::ok &&
        p.payload != answer_text(r.submission))
        w_.sim.violation("5 own answer",
                         "got " + p.payload + " for " + std::to_string(r.submission));
    if (r.done)
        return;
    r.done = true;
    bool const not_run = p.head.status >= packet_status::not_run_overloaded &&
                         p.head.status <= packet_status::not_run_shutting_down;
    w_.count.answers += p.head.status == packet_status::ok ? 1 : 0;
    w_.count.not_run += not_run ? 1 : 0;
    w_.count.unknown += p.head.status == packet_status::outcome_unknown ? 1 : 0;
    if (p.head.status != packet_status::ok && p.head.status != packet_status::not_run_overloaded &&
        p.head.status != packet_status::deadline_exceeded && p.flow_id == flow_)
        flow_.clear();
    if (not_run && !flow_.empty() && !w_.quiet && w_.sim.chance(0.5))
        submit(w_.submissions[r.submission].operation);
}

void caller::on_data(packet const& p)
{
    for (std::size_t i = 0; i < streams_.size(); ++i)
        if (streams_[i].encoded == p.flow_id)
        {
            ++w_.count.echoes;
            streams_[i].last_echo = w_.sim.now();
            if (p.payload != "stream " + std::to_string(i))
                w_.sim.violation("5 own answer", "stream data of another stream");
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
    bool const old = w_.sim.now() - s.opened > max_stream_age;
    bool const end = !w_.quiet && (old || w_.sim.chance(0.015));
    p.head.kind = end ? packet_kind::close : packet_kind::data;
    p.payload = end ? "" : "stream " + std::to_string(index);
    send(p);
    if (end)
    {
        s.ended = true;
        --live_streams_;
        return;
    }
    w_.sim.after(keep_alive_period, [this, index] { keep_alive(index); });
}

std::size_t caller::silent_since(sim_time t) const
{
    return static_cast<std::size_t>(std::count_if(streams_.begin(), streams_.end(),
                                                  [&](stream const& s)
                                                  {
                                                      server const* const u =
                                                          w_.find_server(s.id.address);
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
