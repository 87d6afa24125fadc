// The HTTP API for operators, independent of the HTTP library: maps a request value to a response
// value. The daemon connects it to its HTTP endpoint and provides the backend.
//
//   GET  /api/v1/status
//   GET  /api/v1/config
//   GET  /api/v1/changes?since=REVISION     changes after the revision
//   GET  /api/v1/changes?id=CHANGE_ID       outcome of a change
//   GET  /api/v1/timeline?since=UNIX_MS&subject=TEXT
//   GET  /api/v1/why?subject=TEXT
//   POST /api/v1/changes                    a proposed_change
//   POST /api/v1/check                      a proposed_change; validates only
//   POST /api/v1/log-level                  {"severity": "debug"}
//
// Every POST needs the operators' token.
#ifndef CHIVELEVER_TRANSPORT_API_HPP
#define CHIVELEVER_TRANSPORT_API_HPP

#include "coordination/coordination.hpp"
#include "protocol/protocol.hpp"
#include "state/state.hpp"

#include <boost/json/object.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivelever
{

struct api_request
{
    std::string method;
    std::string path; // without the query
    std::map<std::string, std::string> query;
    std::string body;
    std::string token; // from "Authorization: Bearer TOKEN"
};

struct api_response
{
    int status{};
    std::string content_type;
    std::string body;
    bool operator==(api_response const&) const = default;
};

// Configuration progress of one host of the host list.
struct host_progress
{
    std::string name;
    revision rev;
    bool responded{}; // the host responded, so that its revision is known
    auto operator<=>(host_progress const&) const = default;
};

// Callbacks provided by the daemon. They run on the threads of the HTTP endpoint and may block.
struct api_backend
{
    std::function<boost::json::object()> status;
    std::function<config_ptr()> config;
    // Returns nothing if the changes after the revision are no longer kept.
    std::function<std::optional<std::vector<config_change>>(revision since)> changes;
    std::function<std::vector<event>(hybrid_time since, std::string const& subject)> timeline;
    // Current state of the subject and the decisions that led to it.
    std::function<boost::json::object(std::string const& subject)> why;
    std::function<submit_result(proposed_change const&)> submit;
    std::function<submit_result(std::string const& change_id)> change_status;
    std::function<std::vector<host_progress>()> progress;
    std::function<revision()> in_force_everywhere;
    // Returns false if the severity is unknown.
    std::function<bool(std::string const& severity)> set_log_level;
};

// Decodes the pairs of a query string such as "since=5&subject=a%2Fb".
std::map<std::string, std::string> parse_query(std::string_view raw);

class api_handler
{
public:
    api_handler(api_backend backend, std::string operator_token);

    api_response handle(api_request const& request) const;

private:
    api_response get(api_request const& request) const;
    api_response post(api_request const& request) const;
    api_response get_changes(api_request const& request) const;
    api_response get_timeline(api_request const& request) const;
    api_response post_change(api_request const& request) const;
    api_response post_check(api_request const& request) const;
    api_response post_log_level(api_request const& request) const;
    api_response change_outcome(submit_result const& result, std::string const& change_id) const;
    bool authorized(std::string const& token) const;

    api_backend backend_;
    std::string token_;
};

} // namespace chivelever

#endif
