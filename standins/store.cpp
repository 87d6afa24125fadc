// Simulates the platform's key-value service: the subset of the Consul KV HTTP API that the daemons
// use, with faults on command. Uses Boost.Beast because outages close connections or leave calls
// unanswered, and a pending watch must not hold a thread.
#include "standins/common_http.hpp"

#include <openssl/evp.h>

#include <iostream>
#include <list>

namespace
{

using namespace chivelever;
using namespace chivelever::standins;

constexpr std::size_t max_value_bytes = 1'000'000;
constexpr auto default_wait = std::chrono::seconds(5);
constexpr auto max_wait = std::chrono::seconds(60);
constexpr std::string_view key_path = "/v1/kv/";

std::string to_base64(std::string const& bytes)
{
    std::string out(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    int const size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                                     reinterpret_cast<unsigned char const*>(bytes.data()),
                                     static_cast<int>(bytes.size()));
    out.resize(static_cast<std::size_t>(size));
    return out;
}

// "5s", "200ms" or "1m", as in the Consul API.
steady::duration parse_wait(std::string const& text)
{
    auto const n = parse_number(text);
    if (!n)
        return default_wait;
    steady::duration wait = std::chrono::seconds(*n);
    if (text.ends_with("ms"))
        wait = milliseconds(*n);
    else if (text.ends_with("m"))
        wait = std::chrono::minutes(*n);
    return std::min<steady::duration>(wait, max_wait);
}

// Limits the calls per second; 0 means no limit.
class rate_limit
{
public:
    void set(std::uint64_t calls) { limit_ = calls; }
    bool allow()
    {
        auto const now = steady::now();
        if (now - since_ >= std::chrono::seconds(1))
        {
            since_ = now;
            used_ = 0;
        }
        return limit_ == 0 || used_++ < limit_;
    }

private:
    std::uint64_t limit_{};
    std::uint64_t used_{};
    steady::time_point since_{};
};

struct entry
{
    std::string value;
    std::uint64_t index{};
};

class key_value_store
{
public:
    explicit key_value_store(asio::io_context& io) : timers_(io) {}

    void handle(http_call const& call, http_responder respond)
    {
        if (call.path == "/control" && call.method == "POST")
            return respond(control(parse_object(call.body)));
        if (call.path == "/control/stats")
            return respond({200, json::serialize(stats())});
        ++calls_["total"];
        if (outage_ != "off")
            return fail_call(std::move(respond));
        if (response_delay_ == milliseconds(0))
            return serve(call, std::move(respond));
        timers_.after(response_delay_, [this, call, respond = std::move(respond)]() mutable
                      { serve(call, std::move(respond)); });
    }

private:
    struct watcher
    {
        std::string key;
        std::uint64_t index{};
        http_responder respond;
        timer_queue::handle deadline;
    };

    void fail_call(http_responder respond)
    {
        ++calls_["during_outage"];
        if (outage_ == "hang")
            unanswered_.push_back(std::move(respond)); // closed when the outage ends
        else
            respond({.close = true});
    }

    void serve(http_call const& call, http_responder respond)
    {
        if (!call.path.starts_with(key_path))
            return respond({404, "{}"});
        std::string const key = call.path.substr(key_path.size());
        if (call.method == "PUT" || call.method == "DELETE")
            return write(key, call, respond);
        if (!reads_.allow())
        {
            ++calls_["rejected"];
            return respond({429, "rate limit exceeded"});
        }
        if (call.query.contains("recurse"))
            return respond(list(key));
        if (call.query.contains("index"))
            return watch(key, call, std::move(respond));
        ++calls_["get"];
        respond(read(key));
    }

    static json::object to_json(std::string const& key, entry const& e)
    {
        return {{"Key", key},
                {"Value", to_base64(e.value)},
                {"ModifyIndex", e.index},
                {"CreateIndex", e.index},
                {"LockIndex", 0},
                {"Flags", 0}};
    }

    http_reply read(std::string const& key) const
    {
        auto const it = entries_.find(key);
        if (it == entries_.end())
            return {404, "", std::to_string(index_)};
        return {200, json::serialize(json::array{to_json(key, it->second)}),
                std::to_string(it->second.index)};
    }

    http_reply list(std::string const& prefix)
    {
        ++calls_["list"];
        json::array found;
        for (auto it = entries_.lower_bound(prefix);
             it != entries_.end() && it->first.starts_with(prefix); ++it)
            found.push_back(to_json(it->first, it->second));
        return {found.empty() ? 404U : 200U, json::serialize(found), std::to_string(index_)};
    }

    // Answers when the key appears or its index differs from the caller's, or after the wait.
    void watch(std::string const& key, http_call const& call, http_responder respond)
    {
        ++calls_["watch"];
        std::uint64_t const known = parse_number(call.query.at("index")).value_or(0);
        auto const it = entries_.find(key);
        if (it != entries_.end() && it->second.index != known)
            return respond(read(key));
        auto const wait = call.query.contains("wait") ? parse_wait(call.query.at("wait"))
                                                      : steady::duration(default_wait);
        auto const w =
            watchers_.insert(watchers_.end(), watcher{key, known, std::move(respond), {}});
        w->deadline = timers_.after(wait,
                                    [this, w]
                                    {
                                        auto const answer = std::move(w->respond);
                                        auto const reply = read(w->key);
                                        watchers_.erase(w);
                                        answer(reply);
                                    });
    }

    void notify_watchers()
    {
        for (auto w = watchers_.begin(); w != watchers_.end();)
        {
            auto const it = entries_.find(w->key);
            bool const changed = it != entries_.end() && it->second.index != w->index;
            if (!changed)
            {
                ++w;
                continue;
            }
            timers_.cancel(w->deadline);
            auto const answer = std::move(w->respond);
            w = watchers_.erase(w);
            answer(read(it->first));
        }
    }

    void write(std::string const& key, http_call const& call, http_responder const& respond)
    {
        if (!writes_.allow())
        {
            ++calls_["rejected"];
            return respond({429, "rate limit exceeded"});
        }
        ++calls_[call.method == "PUT" ? "put" : "delete"];
        if (call.body.size() > max_value_bytes)
            return respond({413, "value exceeds the limit of 1 MB"});
        auto const it = entries_.find(key);
        std::uint64_t const current_index = it == entries_.end() ? 0 : it->second.index;
        if (call.query.contains("cas") && parse_number(call.query.at("cas")) != current_index)
        {
            ++calls_["compare_failed"];
            return respond({200, "false"});
        }
        apply(key, call.method == "PUT" ? std::optional(call.body) : std::nullopt);
        if (answers_to_lose_ > 0)
        {
            --answers_to_lose_;
            ++calls_["answers_lost"];
            return respond({.close = true});
        }
        respond({200, "true"});
    }

    void apply(std::string const& key, std::optional<std::string> value)
    {
        ++index_;
        writes_log_.push_back({index_, key, value});
        if (value)
            entries_[key] = {std::move(*value), index_};
        else
            entries_.erase(key);
        notify_watchers();
    }

    // Restores the state at an older index, as from a backup; later writes are lost.
    void restore(std::uint64_t to)
    {
        while (!writes_log_.empty() && writes_log_.back().index > to)
            writes_log_.pop_back();
        entries_.clear();
        index_ = to;
        for (write_record const& r : writes_log_)
            if (r.value)
                entries_[r.key] = {*r.value, r.index};
            else
                entries_.erase(r.key);
        notify_watchers();
    }

    http_reply control(json::object const& command)
    {
        for (auto const& [name, value] : command)
        {
            bool const number = value.is_int64() && value.as_int64() >= 0;
            std::uint64_t const n = number ? static_cast<std::uint64_t>(value.as_int64()) : 0;
            if (name == "outage" && value.is_string())
                set_outage(std::string(value.as_string()));
            else if (name == "slow_ms" && number)
                response_delay_ = milliseconds(n);
            else if (name == "lose_answers" && number)
                answers_to_lose_ = n;
            else if (name == "restore" && number)
                restore(n);
            else if (name == "rate_reads" && number)
                reads_.set(n);
            else if (name == "rate_writes" && number)
                writes_.set(n);
            else
                return {400, "{\"error\":\"unknown command or wrong type\"}"};
        }
        return {200, json::serialize(stats())};
    }

    // "off", "close" (connections are closed at once) or "hang" (calls get no answer).
    void set_outage(std::string const& mode)
    {
        outage_ = mode;
        auto const end = [](std::vector<http_responder> const& calls)
        {
            for (auto const& respond : calls)
                respond({.close = true});
        };
        if (mode != "hang")
            end(std::exchange(unanswered_, {}));
        if (mode == "off")
            return;
        for (watcher& w : watchers_)
        {
            timers_.cancel(w.deadline);
            unanswered_.push_back(std::move(w.respond));
        }
        watchers_.clear();
        if (mode != "hang")
            end(std::exchange(unanswered_, {}));
    }

    json::object stats() const
    {
        json::object calls;
        for (auto const& [kind, count] : calls_)
            calls[kind] = count;
        return {{"calls", calls},
                {"index", index_},
                {"keys", entries_.size()},
                {"waiting", watchers_.size()},
                {"outage", outage_},
                {"slow_ms", response_delay_.count()},
                {"lose_answers", answers_to_lose_}};
    }

    struct write_record
    {
        std::uint64_t index{};
        std::string key;
        std::optional<std::string> value; // nullopt if deleted
    };

    timer_queue timers_;
    std::map<std::string, entry> entries_;
    std::vector<write_record> writes_log_;
    std::uint64_t index_{};
    std::list<watcher> watchers_;
    std::vector<http_responder> unanswered_;
    std::map<std::string, std::uint64_t> calls_;
    std::string outage_{"off"};
    milliseconds response_delay_{0};
    std::uint64_t answers_to_lose_{};
    rate_limit reads_;
    rate_limit writes_;
};

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("Simulated key-value store");
    description.add_options()("listen", options::value<std::string>()->required(), "ip:port");
    options::variables_map values;
    if (!parse_options(argc, argv, description, values))
        return 0;
    asio::io_context io(1);
    key_value_store store(io);
    serve_http(io, require_endpoint(values["listen"].as<std::string>(), "--listen"),
               [&store](http_call const& call, http_responder respond)
               { store.handle(call, std::move(respond)); });
    std::cout << "store ready" << std::endl;
    run_until_stopped(io, values);
    return 0;
}
