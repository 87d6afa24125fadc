// Tests of the HTTP API handler with a fake backend.
#include "config_sample.hpp"
#include "fake_backend.hpp"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

using namespace chivelever;

namespace
{

struct fixture : sample::fake_backend
{
    api_handler handler{backend(), "token"};

    api_response call(std::string const& method, std::string const& target,
                      std::string const& body = {}, std::string const& token = "token")
    {
        auto const query_start = target.find('?');
        api_request r{method, "/api/v1/" + target.substr(0, query_start), {}, body, token};
        if (query_start != std::string::npos)
            r.query = parse_query(target.substr(query_start + 1));
        return handler.handle(r);
    }

    static std::string proposal(std::vector<operation> ops, std::uint64_t id = 2)
    {
        return encode(proposed_change{sample::change(0, id, std::move(ops)), {}});
    }
};

boost::json::object body(api_response const& r)
{
    return boost::json::parse(r.body).as_object();
}

} // namespace

TEST_CASE_METHOD(fixture, "a change is accepted with the hosts that have applied it")
{
    auto const r = call("POST", "changes", proposal({rotate_key{}}));
    CHECK(r.status == 200);
    CHECK(r.content_type == "application/json");
    CHECK(body(r)["revision"] == 2);
    CHECK(body(r)["applied"] == boost::json::array{"akl-1"});
    CHECK(body(r)["not_applied"] == boost::json::array{"akl-2"});
    CHECK(log.current()->key_epoch == 1);
    // Guards against applying a change twice when it is resubmitted after a lost response.
    CHECK(body(call("POST", "changes", proposal({rotate_key{}})))["revision"] == 2);
    CHECK(body(call("GET", "changes?id=" + sample::change_id(2)))["revision"] == 2);
    CHECK(log.rev() == revision{2});
    CHECK(body(call("GET", "changes?since=1"))["changes"].as_array().size() == 1);
    CHECK(body(call("GET", "config"))["revision"] == 2);
}

// Guards against responses that do not tell whether a change was accepted, rejected, or has an
// unknown outcome.
TEST_CASE_METHOD(fixture, "each outcome of a change has its own status")
{
    auto const refused = call("POST", "changes", proposal({set_default{"weight", -1}}));
    CHECK(refused.status == 422);
    CHECK(body(refused)["findings"].as_array().size() == 1);
    CHECK(call("POST", "changes", "{").status == 422);
    store.fault.down = true;
    auto const down = call("POST", "changes", proposal({rotate_key{}}));
    CHECK(down.status == 503);
    CHECK(body(down)["message"] == "not accepted: store unreachable");
    store.fault = {false, 0, 0, 1};
    CHECK(call("POST", "changes", proposal({rotate_key{}})).status == 202);
    store.fault = {};
    config_log other(*log.current());
    change_submitter<sample::fake_store> other_submitter(store, other, json_store_codec(),
                                                         {"test"});
    other_submitter.submit(sample::change(0, 9, {rotate_key{}}), {});
    auto const conflict = call("POST", "changes", proposal({rotate_key{}}));
    CHECK(conflict.status == 409);
    CHECK(body(conflict)["winner"].as_object()["change_id"].as_string() == sample::change_id(9));
}

// Guards against unauthenticated changes from anyone who can reach the port.
TEST_CASE_METHOD(fixture, "requests that change state require the token")
{
    for (std::string const token : {"", "toke", "token2", "Token"})
    {
        CHECK(call("POST", "changes", proposal({rotate_key{}}), token).status == 401);
        CHECK(call("POST", "log-level", R"({"severity":"debug"})", token).status == 401);
        CHECK(call("GET", "status", "", token).status == 200);
    }
    api_handler const handler_without_token(backend(), "");
    CHECK(
        handler_without_token.handle({"POST", "/api/v1/changes", {}, proposal({rotate_key{}}), ""})
            .status == 401);
    CHECK(log.rev() == revision{1});
}

TEST_CASE_METHOD(fixture, "checks, the timeline, log levels and unknown paths")
{
    CHECK(call("POST", "check", proposal({rotate_key{}})).status == 200);
    CHECK(call("POST", "check", proposal({set_default{"x", 1}})).status == 422);
    CHECK(log.rev() == revision{1});
    events.add({(1000ULL << 16) + 1, {1}, "lease.granted", "pool/desk@akl", ""});
    events.add({(2000ULL << 16) + 1, {1}, "lease.lost", "pool/desk@akl", ""});
    auto const size = [](api_response const& r) { return body(r)["events"].as_array().size(); };
    CHECK(size(call("GET", "timeline")) == 2);
    CHECK(size(call("GET", "timeline?since=1500&subject=pool%2Fdesk%40akl")) == 1);
    CHECK(size(call("GET", "timeline?subject=pool/bulk")) == 0);
    CHECK(call("GET", "timeline?since=-1").status == 400);
    CHECK(call("GET", "timeline?since=18446744073709551615").status == 400);
    CHECK(call("POST", "log-level", R"({"severity":"debug"})").status == 200);
    CHECK(level == "debug");
    CHECK(call("POST", "log-level", R"({"severity":"loud"})").status == 422);
    CHECK(body(call("GET", "why?subject=pool/desk"))["subject"] == "pool/desk");
    CHECK(call("GET", "nothing").status == 404);
    CHECK(call("POST", "status").status == 405);
    CHECK(call("PUT", "changes").status == 405);
}
