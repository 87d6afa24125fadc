// The admission policies under comparison.
#ifndef CHIVELEVER_BENCH_ADMISSION_POLICIES_HPP
#define CHIVELEVER_BENCH_ADMISSION_POLICIES_HPP

#include "model.hpp"

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>

namespace chivelever::experiment
{

// Environment of a policy. `finish` reports the final status of a request.
struct policy_context
{
    scenario const& s;
    event_loop& loop;
    random_engine& random;
    std::vector<std::unique_ptr<upstream_model>>& upstreams;
    std::function<void(std::uint64_t request, packet_status)> finish;

    // Sends an attempt to an upstream; `done` is called when the answer arrives.
    void send(std::size_t upstream, std::uint64_t token, duration deadline,
              std::function<void(packet_status)> done)
    {
        loop.after(s.one_way_delay,
                   [this, upstream, token, deadline, done = std::move(done)]() mutable
                   {
                       upstreams[upstream]->arrive(
                           token, deadline,
                           [this, done = std::move(done)](packet_status status)
                           { loop.after(s.one_way_delay, [done, status] { done(status); }); });
                   });
    }
};

// The production pool: one holder for all balancers, or a separate pool in each balancer.
class pool_policy
{
public:
    struct options
    {
        bool single_holder{true};
        std::int64_t retry_percent{10};
    };

    pool_policy(policy_context context, options o) : context_(std::move(context)), options_(o)
    {
        fleet_config c = empty_config();
        c.rev = {1};
        c.defaults[static_cast<std::size_t>(setting::request_flow_lifetime_s)] = 300;
        c.defaults[static_cast<std::size_t>(setting::retry_budget_percent)] = o.retry_percent;
        c.zones.push_back({{1}, "zone"});
        c.services.push_back({{1}, "service"});
        for (std::uint32_t i = 0; i < context_.s.upstreams; ++i)
            c.upstreams.push_back(
                {{i + 1}, std::to_string(i), {1}, {1}, address(i), {1}, context_.s.slots, 1000});
        table_ = std::make_shared<routing_table const>(std::move(c), host_list{}, "experiment");
        std::uint32_t const count = o.single_holder ? 1 : context_.s.balancers;
        for (std::uint32_t i = 0; i < count; ++i)
            add_holder(i);
    }

    void submit(std::uint32_t balancer, std::uint64_t request, duration deadline, bool idempotent)
    {
        std::size_t const h = options_.single_holder ? 0 : balancer;
        // Balancer 0 is the holder; the others forward requests to it.
        duration const hop =
            options_.single_holder && balancer != 0 ? context_.s.one_way_delay : duration{};
        context_.loop.after(hop,
                            [this, h, request, deadline, idempotent]
                            {
                                holder& holder = holders_[h];
                                packet_view p;
                                p.kind = packet_kind::request;
                                p.flow = flow_kind::request;
                                p.service = {1};
                                p.request = {request};
                                p.caller = caller;
                                p.deadline_ms = static_cast<std::uint32_t>(deadline.count() / 1000);
                                p.idempotent = idempotent;
                                p.flow_id = holder.flow_bytes;
                                holder.pool->on_request(p, holder.flow, context_.loop.now(), out_);
                                deliver(h);
                            });
    }

    // Whether the pool's limit covers all slots of all upstreams.
    bool at_full_capacity() const
    {
        return holders_[0].pool->stats().limit ==
               std::size_t{context_.s.upstreams} * context_.s.slots;
    }

private:
    static constexpr endpoint caller{1, 1};
    static endpoint address(std::uint32_t i) { return {0x7f000000 + i, 9000}; }

    struct holder
    {
        std::unique_ptr<chivelever::pool> pool;
        std::string flow_bytes;
        flow_id flow;
    };

    void add_holder(std::uint32_t i)
    {
        holder h;
        h.pool = std::make_unique<chivelever::pool>(
            pool_id{{1}, {1}}, host_instance{{static_cast<std::uint16_t>(i)}, {1}}, 1, i + 1);
        h.pool->update(table_, context_.loop.now());
        h.pool->set_lease(context_.loop.now() + std::chrono::hours(1));
        packet_view open;
        open.kind = packet_kind::open;
        open.flow = flow_kind::request;
        open.service = {1};
        open.caller = caller;
        h.pool->on_open(open, context_.loop.now(), out_);
        h.flow_bytes = std::string(out_.at(0).packet.flow_id);
        h.flow = *table_->signer().verify(h.flow_bytes);
        out_.clear();
        holders_.push_back(std::move(h));
        tick(i);
    }

    void tick(std::size_t h)
    {
        context_.loop.after(std::chrono::milliseconds(10),
                            [this, h]
                            {
                                holders_[h].pool->tick(context_.loop.now(), out_);
                                deliver(h);
                                tick(h);
                            });
    }

    void deliver(std::size_t h)
    {
        for (send_packet const& s : out_)
        {
            std::uint64_t const id = s.packet.request.value;
            if (s.to == caller)
                context_.loop.after(context_.s.one_way_delay, [this, id, status = s.packet.status]
                                    { context_.finish(id, status); });
            else if (s.packet.kind == packet_kind::cancel)
                cancel(h, s.to, id);
            else
                context_.send(s.to.address - address(0).address, id,
                              std::chrono::milliseconds(s.packet.deadline_ms),
                              [this, h, to = s.to, id](packet_status status)
                              { answer(h, to, id, status); });
        }
        out_.clear();
    }

    void cancel(std::size_t h, endpoint to, std::uint64_t id)
    {
        context_.loop.after(
            context_.s.one_way_delay,
            [this, h, to, id]
            {
                if (!context_.upstreams[to.address - address(0).address]->cancel(id))
                    return;
                context_.loop.after(context_.s.one_way_delay, [this, h, to, id]
                                    { answer(h, to, id, packet_status::cancelled); });
            });
    }

    void answer(std::size_t h, endpoint from, std::uint64_t id, packet_status status)
    {
        packet_view a;
        a.kind = packet_kind::answer;
        a.flow = flow_kind::request;
        a.status = status;
        a.service = {1};
        a.request = {id};
        a.flow_id = holders_[h].flow_bytes;
        holders_[h].pool->on_answer(a, from, context_.loop.now(), out_);
        deliver(h);
    }

    policy_context context_;
    options options_;
    routing_table_ptr table_;
    std::vector<holder> holders_;
    std::vector<send_packet> out_;
};

// Power of two choices: sends each request without queueing to the less loaded of two random
// upstreams, by periodically refreshed loads. Shed or timed-out attempts are retried up to `tries`.
class two_choices_policy
{
public:
    struct options
    {
        std::uint32_t tries{3};
        duration refresh{std::chrono::milliseconds(100)};
        duration attempt_timeout{std::chrono::milliseconds(100)};
    };

    two_choices_policy(policy_context context, options o)
        : context_(std::move(context)), options_(o)
    {
        loads_.resize(context_.s.upstreams);
        refresh();
    }

    void submit(std::uint32_t /*balancer*/, std::uint64_t request, duration deadline,
                bool idempotent)
    {
        attempt(request, context_.loop.now() + deadline, idempotent, options_.tries);
    }
    bool at_full_capacity() const { return true; }

private:
    void refresh()
    {
        for (std::size_t i = 0; i < loads_.size(); ++i)
            loads_[i] = context_.upstreams[i]->occupied();
        context_.loop.after(options_.refresh, [this] { refresh(); });
    }

    void attempt(std::uint64_t request, time_point deadline, bool idempotent, std::uint32_t tries)
    {
        duration const left = deadline - context_.loop.now();
        if (tries == 0 || left <= duration{})
            return context_.finish(request, packet_status::not_run_overloaded);
        boost::random::uniform_int_distribution<std::size_t> any(0, loads_.size() - 1);
        std::size_t const a = any(context_.random);
        std::size_t const b = any(context_.random);
        std::size_t const selected = loads_[b] < loads_[a] ? b : a;
        std::uint64_t const token = ++tokens_;
        auto const open = std::make_shared<bool>(true);
        context_.send(selected, token, left,
                      [this, open, request, deadline, idempotent, tries](packet_status status)
                      {
                          if (!*open)
                              return;
                          *open = false;
                          if (status == packet_status::ok)
                              context_.finish(request, status);
                          else
                              attempt(request, deadline, idempotent, tries - 1);
                      });
        bool const repeat = idempotent && tries > 1;
        context_.loop.after(repeat ? std::min(left, options_.attempt_timeout) : left,
                            [this, open, request, deadline, idempotent, tries, repeat]
                            {
                                if (!*open)
                                    return;
                                *open = false;
                                if (repeat)
                                    attempt(request, deadline, idempotent, tries - 1);
                                else
                                    context_.finish(request, packet_status::outcome_unknown);
                            });
    }

    policy_context context_;
    options options_;
    std::vector<std::size_t> loads_;
    std::uint64_t tokens_{};
};

// Reference: a single queue that sees the state of all upstreams without delay.
class ideal_policy
{
public:
    struct options
    {
    };
    ideal_policy(policy_context context, options) : context_(std::move(context)) { poll(); }

    void submit(std::uint32_t /*balancer*/, std::uint64_t request, duration deadline,
                bool /*idempotent*/)
    {
        queue_.push_back({request, context_.loop.now() + deadline});
        dispatch();
    }
    bool at_full_capacity() const { return true; }

private:
    struct queued_request
    {
        std::uint64_t request;
        time_point deadline;
    };
    // Detects capacity freed when an upstream becomes warm or crashes.
    void poll()
    {
        context_.loop.after(std::chrono::milliseconds(1),
                            [this]
                            {
                                dispatch();
                                poll();
                            });
    }
    void dispatch()
    {
        for (auto const& u : context_.upstreams)
            while (u->occupied() < u->capacity() && !queue_.empty())
            {
                queued_request const next = queue_.front();
                queue_.pop_front();
                if (next.deadline <= context_.loop.now())
                {
                    context_.finish(next.request, packet_status::not_run_overloaded);
                    continue;
                }
                u->arrive(next.request, next.deadline - context_.loop.now(),
                          [this, request = next.request](packet_status status)
                          {
                              context_.finish(request, status);
                              dispatch();
                          });
            }
    }

    policy_context context_;
    std::deque<queued_request> queue_;
};

} // namespace chivelever::experiment

#endif
