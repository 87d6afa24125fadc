// Tests of the upstream limit, retry budget, ledger and pool.
#include "coordination/coordination.hpp"

#include <catch2/catch.hpp>

using namespace chivelever;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr time_point start_time{seconds(1000)};
constexpr pool_id test_pool{{1}, {1}};
constexpr host_instance self{{1}, {77}};

endpoint upstream_address(std::uint32_t i)
{
    return {0x7f000100 + i, 9000};
}

routing_table_ptr make_table(std::uint32_t upstreams, std::uint16_t slots, std::uint32_t owner = 1)
{
    fleet_config c = empty_config();
    c.rev = {owner};
    c.zones.push_back({{1}, "akl"});
    c.services.push_back({{1}, "desk"});
    for (std::uint32_t i = 1; i <= upstreams; ++i)
        c.upstreams.push_back(
            {{i}, "u" + std::to_string(i), {1}, {1}, upstream_address(i), {owner}, slots, 100});
    return std::make_shared<routing_table const>(std::move(c), host_list{}, "secret");
}

// Drives one pool and collects the packets that it sends.
struct pool_fixture
{
    explicit pool_fixture(std::uint32_t upstreams = 2, std::uint16_t slots = 3,
                          ledger_limits limits = {})
        : table(make_table(upstreams, slots)), p(test_pool, self, 100, 5, limits)
    {
        invariants::reset();
        p.update(table, now);
        p.set_lease(now + seconds(3600));
        packet_view open;
        open.kind = packet_kind::open;
        open.flow = flow_kind::request;
        open.service = {1};
        open.caller = {1, 1};
        p.on_open(open, now, out);
        flow_bytes = std::string(out.at(0).packet.flow_id);
        flow = *table->signer().verify(flow_bytes);
        out.clear();
    }
    ~pool_fixture() { CHECK(invariants::violations() == 0); }

    packet_view packet(packet_kind kind, std::uint64_t id, bool idempotent = false) const
    {
        packet_view r;
        r.kind = kind;
        r.flow = flow_kind::request;
        r.service = {1};
        r.request = {id};
        r.caller = {1, 1};
        r.deadline_ms = 1000;
        r.idempotent = idempotent;
        r.flow_id = flow_bytes;
        r.payload = "order";
        return r;
    }
    void request(std::uint64_t id, bool idempotent = false)
    {
        out.clear();
        p.on_request(packet(packet_kind::request, id, idempotent), flow, now, out);
    }
    void cancel(std::uint64_t id)
    {
        out.clear();
        p.on_cancel(packet(packet_kind::cancel, id), flow, now, out);
    }
    void answer(send_packet const& attempt, packet_status status = packet_status::ok)
    {
        packet_view a = packet(packet_kind::answer, attempt.packet.request.value);
        a.status = status;
        a.payload = "filled";
        out.clear();
        p.on_answer(a, attempt.to, now, out);
    }
    void advance(duration d)
    {
        now += d;
        out.clear();
        p.tick(now, out);
    }
    // Returns the requests to upstreams in the latest output. Their views are valid until the next
    // call; after it, the tests use only ids and addresses.
    std::vector<send_packet> attempts() const
    {
        std::vector<send_packet> r;
        for (send_packet const& s : out)
            if (s.packet.kind == packet_kind::request)
                r.push_back(s);
        return r;
    }
    // Returns the status sent to the caller for this request in the latest output.
    std::optional<packet_status> status(std::uint64_t id) const
    {
        for (send_packet const& s : out)
            if (s.to == endpoint{1, 1} && s.packet.request.value == id)
                return s.packet.status;
        return {};
    }

    time_point now{start_time};
    routing_table_ptr table;
    pool p;
    std::vector<send_packet> out;
    std::string flow_bytes;
    flow_id flow;
};
} // namespace

TEST_CASE("an upstream's limit rises with answers on time and falls on failures and slow answers")
{
    upstream_limit l;
    limit_raise_guard guard;
    l.configure({3, 1, 4});
    time_point now = start_time;
    l.start_cold(now);
    auto const answers = [&](int n, duration latency)
    {
        for (int i = 0; i < n; ++i, now += latency)
            l.on_answer(now, now + latency, guard);
    };
    answers(3, milliseconds(10));
    CHECK(l.limit() == 1);
    answers(5, milliseconds(10));
    CHECK(l.limit() == 3);
    answers(16, milliseconds(10));
    CHECK(l.warm_median() == milliseconds(10));
    SECTION("a failure leaves one probe at a time, with back-off")
    {
        time_point const sent = now;
        now += milliseconds(5);
        l.on_failure(sent, now, guard);
        l.on_failure(sent, now + milliseconds(1), guard); // same failure, so no second back-off
        CHECK_FALSE(l.may_send(0, now + milliseconds(99)));
        CHECK(l.may_send(0, now + milliseconds(100)));
        CHECK_FALSE(l.may_send(1, now + milliseconds(100)));
        for (int i = 0; i < 10; ++i)
        {
            now = l.next_probe();
            l.on_failure(now, now, guard);
        }
        CHECK(l.next_probe() - now == seconds(2));
        answers(1, milliseconds(10));
        CHECK_FALSE(l.probing());
        CHECK(l.limit() == 1);
    }
    SECTION("slow answers")
    {
        answers(1, milliseconds(31));
        CHECK(l.limit() == 3);
        answers(3, milliseconds(31));
        CHECK(l.limit() == 1);
        CHECK_FALSE(l.probing());
    }
    SECTION("answers to requests sent before the decrease are ignored")
    {
        time_point const old = now;
        l.on_failure(old, now + milliseconds(1), guard);
        l.on_answer(old, now + milliseconds(2), guard);
        CHECK(l.probing());
    }
}

// Guards against retries beyond the configured percentage, and against rounding errors.
TEST_CASE("the retry budget allows the configured percentage of the offered requests")
{
    retry_budget b;
    b.set_percent(10);
    CHECK_FALSE(b.try_take());
    int granted = 0;
    for (int i = 0; i < 1000; ++i)
    {
        b.on_offered();
        granted += b.try_take() ? 1 : 0;
    }
    CHECK(granted == 100);
}

// Guards against running a request twice because its outcome was evicted to save memory.
TEST_CASE("a full ledger evicts only outcomes of idempotent requests")
{
    ledger l({2, 1, 1000});
    flow_key const f{self, 1};
    time_point const end = start_time + seconds(30);
    REQUIRE(l.admit(f, end, {1}, false));
    REQUIRE(l.admit(f, end, {2}, true));
    CHECK(l.admit(f, end, {3}, false) == nullptr); // both are running
    l.finish(f, {1}, packet_status::ok, "one");
    CHECK(l.admit(f, end, {3}, false) == nullptr);
    l.finish(f, {2}, packet_status::ok, "two");
    CHECK(l.admit(f, end, {3}, false) != nullptr);
    CHECK(l.find(f, {2}) == nullptr);
    CHECK(l.find(f, {1})->payload == "one");
    l.refuse(f, end, {4}, packet_status::not_run_overloaded);
    CHECK_FALSE(l.is_blocked(f, start_time));
    l.refuse(f, end, {5}, packet_status::not_run_overloaded); // no space left to record the refusal
    CHECK(l.is_blocked(f, start_time));
    l.refuse({self, 7}, end, {1}, packet_status::not_run_overloaded);
    CHECK(l.is_blocked({self, 6}, start_time));
    CHECK_FALSE(l.is_blocked({self, 8}, start_time));
    l.expire(end);
    CHECK(l.size() == 0);
    CHECK(l.payload_bytes() == 0);
}

TEST_CASE("a request is answered once and its repeats get the recorded answer")
{
    pool_fixture f;
    f.request(1);
    auto const first = f.attempts();
    REQUIRE(first.size() == 1);
    CHECK(first[0].packet.payload == "order");
    CHECK(first[0].packet.deadline_ms == 1000);
    f.request(1);
    CHECK(f.out.empty());
    f.answer(first[0]);
    CHECK(f.status(1) == packet_status::ok);
    f.request(1);
    CHECK(f.attempts().empty());
    CHECK(f.out.at(0).packet.payload == "filled");
    f.answer(first[0]);
    CHECK(f.out.empty());
    CHECK(f.p.stats().late_answers == 1);
}

// Guards against passing a caller the answer to another request.
TEST_CASE("answers from another upstream or flow are dropped")
{
    pool_fixture f;
    f.request(1);
    auto const sent = f.attempts().at(0);
    send_packet other = sent;
    other.to = upstream_address(9);
    f.answer(other);
    CHECK(f.out.empty());
    std::string const right = f.flow_bytes;
    f.flow_bytes[20] = static_cast<char>(f.flow_bytes[20] ^ 1);
    f.answer(sent);
    CHECK(f.out.empty());
    CHECK(f.p.stats().mismatched_answers == 2);
    f.flow_bytes = right;
    f.answer(sent);
    CHECK(f.status(1) == packet_status::ok);
}

TEST_CASE("cold upstreams get one request each and the rest waits in order")
{
    pool_fixture f;
    f.request(1);
    f.request(2);
    auto const second = f.attempts().at(0);
    f.request(3);
    f.request(4);
    CHECK(f.attempts().empty());
    f.answer(second);
    CHECK(f.status(2) == packet_status::ok);
    CHECK(f.attempts().size() == 1);
    CHECK(f.p.stats().queued == 1);
    f.advance(milliseconds(996)); // too little time left for an attempt
    CHECK(f.status(4) == packet_status::not_run_overloaded);
}

// Guards against running a non-idempotent request twice.
TEST_CASE("a non-idempotent request that timed out ends as outcome_unknown and is not retried")
{
    pool_fixture f;
    f.request(1);
    auto const sent = f.attempts().at(0);
    f.advance(milliseconds(1000));
    CHECK(f.status(1) == packet_status::outcome_unknown);
    f.answer(sent);
    f.request(1);
    CHECK(f.attempts().empty());
    CHECK(f.status(1) == packet_status::outcome_unknown);
}

TEST_CASE(
    "a shed request is retried on another upstream within the budget, else refused as not run")
{
    pool_fixture f;
    f.request(1);
    f.answer(f.attempts().at(0), packet_status::shed);
    CHECK(f.status(1) == packet_status::not_run_overloaded); // the retry budget starts empty
    f.advance(milliseconds(100));
    for (std::uint64_t id = 2; id < 12; ++id)
    {
        f.request(id);
        f.answer(f.attempts().at(0));
    }
    f.request(12);
    auto const sent = f.attempts().at(0);
    f.answer(sent, packet_status::shed);
    auto const again = f.attempts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].to != sent.to);
    CHECK(again[0].packet.request != sent.packet.request);
    f.answer(again[0]);
    CHECK(f.status(12) == packet_status::ok);
}

// Guards against callers that find out about a planned restart from an outcome_unknown.
TEST_CASE("callers of open request flows are notified before their executor stops")
{
    pool_fixture f;
    packet_view p;
    p.kind = packet_kind::open;
    p.flow = flow_kind::request;
    p.service = {1};
    p.request = {77};
    p.caller = {0x7f000009, 5555};
    std::vector<send_packet> out;
    f.p.on_open(p, f.now, out);
    REQUIRE(out.size() == 1);
    std::string const id(out[0].packet.flow_id);
    out.clear();
    f.p.notify_callers(f.now, out);
    auto const notices = std::count_if(out.begin(), out.end(),
                                       [&](send_packet const& s)
                                       {
                                           return s.to == p.caller && s.packet.flow_id == id &&
                                                  s.packet.kind == packet_kind::given_up &&
                                                  s.packet.status == packet_status::not_run_moved;
                                       });
    CHECK(notices == 1);
    out.clear();
    f.p.notify_callers(f.now + std::chrono::hours(1), out);
    CHECK(out.empty());
}

TEST_CASE(
    "a cancel removes a queued request, reaches a running one and stops one that arrives later")
{
    pool_fixture f(1);
    f.request(1);
    auto const running = f.attempts().at(0);
    f.request(2);
    f.cancel(2);
    CHECK(f.status(2) == packet_status::cancelled);
    f.cancel(1);
    REQUIRE(f.out.size() == 1);
    CHECK(f.out[0].to == running.to);
    CHECK(f.out[0].packet.request == running.packet.request);
    f.answer(running, packet_status::cancelled);
    CHECK(f.status(1) == packet_status::cancelled);
    f.cancel(3);
    f.request(3); // arrives after its cancel
    CHECK(f.attempts().empty());
    CHECK(f.status(3) == packet_status::cancelled);
}

// Guards against two holders dispatching requests of a pool at the same time.
TEST_CASE("nothing is dispatched without a lease, and attempts end before it expires")
{
    pool_fixture f(1);
    f.p.set_lease(f.now + milliseconds(500));
    f.request(1);
    CHECK(f.attempts().at(0).packet.deadline_ms == 400);
    f.request(2);
    f.advance(milliseconds(400));
    CHECK(f.status(1) == packet_status::outcome_unknown);
    f.advance(milliseconds(100));
    CHECK(f.status(2) == packet_status::not_run_moved);
    f.request(3);
    CHECK(f.status(3) == packet_status::not_run_moved);
    f.p.set_lease(f.now + seconds(2));
    f.request(3); // still refused under a new lease, since callers were told not_run
    CHECK(f.status(3) == packet_status::not_run_moved);
    CHECK(f.p.idle());
}

// Guards against timeouts that raise the limit of a cold upstream while no median is known.
TEST_CASE("a late attempt does not count as an answer on time")
{
    upstream_limit l;
    limit_raise_guard guard;
    l.configure({3, 1, 4, 1});
    time_point now{seconds(100)};
    for (int i = 0; i < 8; ++i, now += milliseconds(50))
        l.on_deadline_missed(now - milliseconds(50), now, guard);
    CHECK(l.limit() == 1);
    for (int i = 0; i < 4; ++i, now += milliseconds(50))
        l.on_answer(now - milliseconds(50), now, guard);
    CHECK(l.limit() == 2);
}

TEST_CASE("a request of an expired flow or a stopped executor ends as outcome_unknown unless it "
          "may run again")
{
    pool_fixture f;
    f.flow.issuer.run = {76};
    f.request(1);
    CHECK(f.status(1) == packet_status::outcome_unknown);
    f.request(2, true);
    CHECK(f.attempts().size() == 1);
    f.p.set_lease({}); // the previous executor may have run it, so not_run could be false
    f.request(4, true);
    CHECK(f.status(4) == packet_status::outcome_unknown);
    f.flow.issuer = self;
    f.advance(seconds(30));
    f.request(3);
    CHECK(f.status(3) == packet_status::outcome_unknown);
}

TEST_CASE("a full queue refuses the request with the least time left")
{
    pool_fixture f(1);
    f.request(1);
    packet_view soon = f.packet(packet_kind::request, 2);
    soon.deadline_ms = 500;
    f.p.on_request(soon, f.flow, f.now, f.out);
    for (std::uint64_t id = 3; id <= 257; ++id)
        f.request(id);
    CHECK(f.p.stats().queued == 256);
    f.request(258);
    CHECK(f.status(2) == packet_status::not_run_overloaded);
    CHECK(f.p.stats().queued == 256);
}

TEST_CASE("the next holder counts inherited attempts as occupied slots and keeps the limits")
{
    pool_fixture f(1);
    for (std::uint64_t id = 1; id <= 8; ++id)
    {
        f.request(id);
        f.answer(f.attempts().at(0));
    }
    f.request(9);
    f.request(10);
    pool_handover const h = f.p.hand_over(f.now);
    f.request(11);
    CHECK(f.status(11) == packet_status::not_run_moved);
    REQUIRE(h.upstreams.size() == 1);
    CHECK(h.upstreams[0].count == 2);
    CHECK(h.upstreams[0].limit == 3);
    pool_fixture next(1);
    pool_handover received = h;
    received.from = {{2}, {5}}; // both fixtures have the same host instance
    next.p.accept_handover(received, next.now);
    next.request(1);
    CHECK(next.attempts().size() == 1);
    next.request(2);
    CHECK(next.attempts().empty());
    next.advance(milliseconds(1021)); // the previous holder's work has ended
    CHECK(next.p.stats().outstanding == 0);
}

TEST_CASE("a flow goes to the upstream with the fewest flows, and a repeated close counts once")
{
    pool_fixture f(4);
    packet_view open = f.packet(packet_kind::open, 0);
    open.flow = flow_kind::stream;
    std::vector<flow_id> flows;
    for (int i = 0; i < 400; ++i)
    {
        f.out.clear();
        f.p.on_open(open, f.now, f.out);
        flows.push_back(*f.table->signer().verify(f.out.at(0).packet.flow_id));
    }
    std::unordered_map<upstream_id, int> count;
    for (flow_id const& id : flows)
        ++count[id.upstream];
    for (auto const& [id, n] : count)
        CHECK(n == 100);
    f.out.clear();
    f.p.on_open(open, f.now, f.out); // every connection is in use
    CHECK(f.out.at(0).packet.status == packet_status::not_run_overloaded);
    f.p.on_close(flows[0]);
    f.p.on_close(flows[0]);
    CHECK(f.p.stats().flows == 399);
}

TEST_CASE("a new owner of an address starts cold, and removed upstreams get no new work")
{
    pool_fixture f(1);
    for (std::uint64_t id = 1; id <= 8; ++id)
    {
        f.request(id);
        f.answer(f.attempts().at(0));
    }
    CHECK(f.p.stats().limit == 3);
    f.p.update(make_table(1, 3, 2), f.now);
    CHECK(f.p.stats().limit == 1);
    f.p.update(make_table(0, 3, 3), f.now);
    f.request(9);
    CHECK(f.status(9) == packet_status::not_run_no_upstream);
}
