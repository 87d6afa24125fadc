// Tests of the client against the HTTP API on a loopback address.
#include "client/command.hpp"
#include "client/timeline.hpp"
#include "config_sample.hpp"
#include "fake_backend.hpp"
#include "http_server.hpp"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>

using namespace chivelever;

namespace
{

// No process listens on this port: it is privileged and reserved.
std::string const closed_port = "127.0.0.1:1";

struct fixture : sample::fake_backend
{
    api_handler handler{backend(), "token"};
    sample::http_server server{handler};
    std::string token_file = "client_test.token";
    std::string out;
    std::string err;

    fixture()
    {
        second_host_up_to_date = true;
        std::ofstream(token_file) << "token\n";
    }
    ~fixture() { std::remove(token_file.c_str()); }
    fixture(fixture const&) = delete;
    fixture& operator=(fixture const&) = delete;

    int call(std::vector<std::string> words, std::string const& hosts = {})
    {
        for (std::string const& word :
             {std::string("--hosts"), hosts.empty() ? closed_port + "," + server.address() : hosts,
              std::string("--token-file"), token_file, std::string("--author"), std::string("ana"),
              std::string("--timeout"), std::string("2")})
            words.push_back(word);
        std::ostringstream o;
        std::ostringstream e;
        int const code = client::run(words, {o, e, false});
        out = o.str();
        err = e.str();
        return code;
    }
};

} // namespace

// Guards against commands that are not idempotent when an operator or a script repeats them.
TEST_CASE_METHOD(fixture, "client commands change the configuration and are idempotent")
{
    std::vector<std::vector<std::string>> const commands{
        {"config", "set", "queue_limit", "128", "--reason", "shorter"},
        {"exception", "add", "upstream/u1", "weight", "50", "--reason", "old disk in host"},
        {"zone", "out", "akl"},
        {"zone", "in", "akl"},
        {"zone", "add", "chc"},
        {"service", "add", "third"},
        {"upstream", "add", "u7", "--service", "third", "--zone", "chc", "--address",
         "127.0.1.7:9000"},
        {"upstream", "drain", "u1"},
        {"upstream", "remove", "u1"},
        {"exception", "remove", "upstream/u1", "weight"},
        {"config", "unset", "queue_limit"}};
    for (auto const& words : commands)
    {
        INFO(words[0] << " " << words[1]);
        revision const before = log.rev();
        CHECK(call(words) == 0);
        CHECK(err.empty());
        CHECK(log.rev().value == before.value + 1);
        CHECK(call(words) == 0);
        CHECK(out.find("nothing to do") == 0);
        CHECK(log.rev().value == before.value + 1);
    }
    fleet_config const c = *log.current();
    CHECK(c.zones[0].state == zone_state::returning);
    CHECK(c.upstreams.back().id == upstream_id{3});
    CHECK(call({"config", "history"}) == 0);
    CHECK(out.find("shorter") != std::string::npos);
}

// Guards against applying a change twice when the client retries after lost responses.
TEST_CASE_METHOD(fixture, "a lost response does not apply a change twice")
{
    server.drop_responses = 2;
    CHECK(call({"key", "rotate"}) == 0);
    CHECK(log.current()->key_epoch == 1);
    server.drop_responses = 1000;
    CHECK(call({"key", "rotate", "--change-id", sample::change_id(8)}) == 3);
    CHECK(err.find("--change-id " + sample::change_id(8)) != std::string::npos);
    server.drop_responses = 0;
    CHECK(call({"key", "rotate", "--change-id", sample::change_id(8)}) == 0);
    CHECK(log.current()->key_epoch == 2);
}

TEST_CASE_METHOD(fixture, "exit codes of the client")
{
    CHECK(call({"config", "show"}) == 0);
    CHECK(call({"config", "set", "queue_limit", "99999"}) == 1);
    CHECK(err.find("queue_limit: 99999 is not from 0 to 10000") != std::string::npos);
    CHECK(call({"zone", "out", "nowhere"}) == 1);
    CHECK(call({"config", "set", "colour", "1"}) == 2);
    CHECK(call({"config", "set", "weight"}) == 2);
    CHECK(call({"config", "paint"}) == 2);
    CHECK(call({"config", "show", "--colour"}) == 2);
    CHECK(call({"config", "show"}, "localhost") == 2);
    CHECK(call({"exception", "add", "upstream/u1", "weight", "5"}) == 2);
    CHECK(call({"status"}, closed_port) == 3);
    store.fault.down = true;
    CHECK(call({"key", "rotate"}) == 1);
    CHECK(err == "not accepted: store unreachable\n");
    store.fault.down = false;
    second_host_up_to_date = false;
    CHECK(call({"key", "rotate", "--wait", "1"}) == 4);
    CHECK(out.find("akl-2") != std::string::npos);
    std::ofstream(token_file) << "wrong";
    CHECK(call({"key", "rotate"}) == 1);
}

TEST_CASE("every client command shows its help with an example")
{
    for (auto const& list :
         {client::config_commands(), client::fleet_commands(), client::observe_commands()})
        for (client::command const& c : list)
        {
            std::ostringstream o;
            std::ostringstream e;
            std::vector<std::string> words{c.name.substr(0, c.name.find(' '))};
            if (words[0] != c.name)
                words.push_back(c.name.substr(words[0].size() + 1));
            words.emplace_back("--help");
            INFO(c.name);
            CHECK(client::run(words, {o, e, false}) == 0);
            CHECK(c.example.starts_with(c.name));
            CHECK(o.str().find("Example:\n  chivelever " + c.example) != std::string::npos);
        }
}

// Guards against listing an effect before its cause.
TEST_CASE_METHOD(fixture, "the timeline merges events in causal order")
{
    auto const now = static_cast<hybrid_time>(client::now_ms()) << 16;
    events.add({now + 2, {2}, "lease.taken", "pool/desk@akl", ""});
    events.add({now + 1, {1}, "lease.released", "pool/desk@akl", ""});
    events.add({now + 3, {1}, "zone.out", "zone/akl", ""});
    CHECK(call({"timeline", "--since", "1m", "--subject", "pool/"},
               server.address() + "," + closed_port + "," + server.address()) == 0);
    CHECK(err.find("no events from " + closed_port) == 0);
    auto const first = out.find("lease.released");
    auto const second = out.find("lease.taken");
    CHECK(first < second);
    CHECK(out.find("lease.released", first + 1) == std::string::npos);
    CHECK(out.find("zone.out") == std::string::npos);
    CHECK(call({"timeline", "--format", "trace"}, server.address()) == 0);
    auto const trace = boost::json::parse(out).at("traceEvents").as_array();
    CHECK(trace.size() == 5); // two process names and three events
    CHECK(trace[1].at("name") == "lease.released");
    CHECK(trace[1].at("ts").as_int64() < trace[3].at("ts").as_int64());
    CHECK(call({"timeline", "--since", "yesterday"}) == 2);
}
