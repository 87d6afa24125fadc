// Backend of the HTTP API on an in-memory store, with two hosts. The second lags behind unless
// second_host_up_to_date is set.
#ifndef CHIVELEVER_TESTS_FAKE_BACKEND_HPP
#define CHIVELEVER_TESTS_FAKE_BACKEND_HPP

#include "config_sample.hpp"
#include "fake_store.hpp"
#include "transport/transport.hpp"

#include <string>

namespace sample
{

struct fake_backend
{
    fake_store store;
    chivelever::config_log log;
    chivelever::change_submitter<fake_store> submitter{
        store, log, chivelever::json_store_codec(), {"test"}};
    chivelever::event_ring events;
    std::string level;
    bool second_host_up_to_date = false; // the second host has applied the latest revision

    fake_backend() { submitter.submit(first_change(), {}); }

    chivelever::api_backend backend()
    {
        using namespace chivelever;
        api_backend b;
        b.status = [this] {
            return boost::json::object{{"host", "akl-1"}, {"revision", log.rev().value}};
        };
        b.config = [this] { return log.current(); };
        b.changes = [this](revision since) { return log.changes_since(since); };
        b.timeline = [this](hybrid_time since, std::string const& subject)
        { return events.select(since, subject); };
        b.why = [](std::string const& subject) {
            return boost::json::object{{"subject", subject}};
        };
        b.submit = [this](proposed_change const& p) {
            return submitter.submit(p.change, {log.rev(), {}, p.base});
        };
        b.change_status = [this](std::string const& id) { return submitter.query_outcome(id); };
        b.progress = [this]
        {
            return std::vector<host_progress>{
                {"akl-1", log.rev(), true},
                {"akl-2", second_host_up_to_date ? log.rev() : revision{1}, true}};
        };
        b.in_force_everywhere = [this] { return log.rev(); };
        b.set_log_level = [this](std::string const& severity)
        {
            level = severity;
            return severity == "debug" || severity == "info";
        };
        return b;
    }
};

} // namespace sample

#endif
