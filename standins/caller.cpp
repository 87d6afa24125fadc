// Load generator: sends requests, streams and uploads through the fabric and checks the answers.
// The last line of output is the summary; the exit code is 0 only if no flow was broken and no
// request was duplicated, misrouted or answered wrongly.
#include "standins/common_flows.hpp"
#include "standins/common_http.hpp"
#include "standins/common_requests.hpp"

#include <fstream>
#include <iomanip>
#include <iostream>

namespace
{

using namespace chivelever;
using namespace chivelever::standins;

constexpr auto progress_check_interval = milliseconds(50);
constexpr auto final_answer_wait =
    milliseconds(300); // time for the last answers and close packets to arrive
constexpr auto report_timeout = std::chrono::seconds(3);

class load_run
{
public:
    load_run(asio::io_context& io, options::variables_map const& values)
        : io_(io), values_(values), timers_(io),
          port_(io, timers_, require_endpoint(text("fabric"), "--fabric"),
                require_endpoint(text("local"), "--local"), values["sockets"].as<std::size_t>(),
                values["seed"].as<std::uint64_t>()),
          requests_(port_, request_options(), values["seed"].as<std::uint64_t>()),
          flows_(port_, flow_options())
    {
    }

    void start()
    {
        started_at_ = steady::now();
        if (values_["by-hand"].as<bool>())
            port_.use_synthetic_flow_ids();
        requests_.start();
        flows_.start();
        check_progress();
    }

    // Prints the summary and returns the exit code.
    int summary() const;

private:
    std::string text(char const* name) const { return values_[name].as<std::string>(); }
    std::vector<service_id> services(char const* name) const
    {
        std::vector<service_id> found;
        for (std::string const& item : split(text(name), ','))
            found.push_back({static_cast<std::uint32_t>(parse_number(item).value_or(0))});
        return found;
    }

    request_settings request_options() const
    {
        return {.services = services("request-services"),
                .count = values_["requests"].as<std::uint64_t>(),
                .rate = values_["rate"].as<double>(),
                .flows = values_["request-flows"].as<std::size_t>(),
                .deadline_ms = values_["deadline-ms"].as<std::uint32_t>(),
                .idempotent = values_["idempotent"].as<double>(),
                .cancelled = values_["cancel"].as<double>(),
                .filler_bytes = values_["payload"].as<std::size_t>()};
    }

    flow_settings flow_options() const
    {
        return {.stream_services = services("stream-services"),
                .upload_services = services("upload-services"),
                .streams = values_["streams"].as<std::size_t>(),
                .stream_rate = values_["stream-rate"].as<std::uint32_t>(),
                .uploads = values_["uploads-at-once"].as<std::size_t>(),
                .upload_total = values_["uploads"].as<std::size_t>(),
                .upload_packets = values_["upload-packets"].as<std::uint32_t>(),
                .upload_bytes = values_["upload-bytes"].as<std::size_t>(),
                .open_rate = values_["open-rate"].as<double>()};
    }

    void check_progress()
    {
        auto const min_duration = std::chrono::duration<double>(values_["duration"].as<double>());
        if (!requests_.done() || !flows_.uploads_done() ||
            steady::now() - started_at_ < min_duration)
        {
            timers_.after(progress_check_interval, [this] { check_progress(); });
            return;
        }
        flows_.finish();
        timers_.after(final_answer_wait, [this] { fetch_upstream_report(); });
    }

    void fetch_upstream_report()
    {
        if (values_.count("upstream-control") == 0)
            return io_.stop();
        fetch_http(io_, require_endpoint(text("upstream-control"), "--upstream-control"), "/report",
                   report_timeout,
                   [this](unsigned status, std::string const& body)
                   {
                       if (status == 200)
                           upstreams_ = parse_object(body);
                       io_.stop();
                   });
    }

    std::uint64_t upstream_total(char const* name) const
    {
        auto const* const total = upstreams_.if_contains("total");
        if (total == nullptr || !total->is_object())
            return 0;
        auto const* const value = total->as_object().if_contains(name);
        return value != nullptr ? value->to_number<std::uint64_t>() : 0;
    }

    asio::io_context& io_;
    options::variables_map const& values_;
    timer_queue timers_;
    caller_port port_;
    request_load requests_;
    flow_load flows_;
    json::object upstreams_;
    steady::time_point started_at_;
};

int load_run::summary() const
{
    bool const reported = !upstreams_.empty() || values_.count("upstream-control") == 0;
    std::uint64_t const answered = requests_.count("answered");
    std::uint64_t const late = requests_.count("late") + requests_.count("expired");
    std::uint64_t const unknown = requests_.count("unknown") + requests_.count("silent");
    std::uint64_t const refused = requests_.refused() + flows_.refused();
    std::uint64_t const wrong = requests_.count("wrong");
    std::uint64_t const broken = flows_.broken();
    std::uint64_t const duplicates = upstream_total("doubled");
    std::uint64_t const misrouted = upstream_total("misrouted");
    json::object const full_report{{"requests", requests_.report()},
                                   {"flows", flows_.report()},
                                   {"port", port_.report()},
                                   {"upstreams", upstreams_}};
    if (values_.count("report") != 0)
        std::ofstream(text("report")) << json::serialize(full_report) << "\n";
    if (values_["verbose"].as<bool>())
        std::cout << json::serialize(full_report) << "\n";
    std::cout << std::fixed << std::setprecision(2) << "throughput=" << requests_.throughput()
              << "/s p50=" << requests_.quantile_ms(0.5) << "ms p99=" << requests_.quantile_ms(0.99)
              << "ms\n"
              << "late=" << late << " unknown=" << unknown << " wrong=" << wrong
              << " cancelled=" << requests_.count("cancelled")
              << " overloads=" << upstream_total("overloads")
              << " streams=" << flows_.count("streams_whole")
              << " uploads=" << flows_.count("uploads_whole") << "\n"
              << "answered=" << answered << " broken=" << broken << " doubled=" << duplicates
              << " misrouted=" << misrouted << " refused=" << refused << std::endl;
    bool const done = requests_.done() && flows_.uploads_done();
    return reported && done && broken + duplicates + misrouted + wrong == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description description("Load generator that simulates callers");
    auto const number = [](std::uint64_t n)
    { return options::value<std::uint64_t>()->default_value(n); };
    auto const real = [](double n) { return options::value<double>()->default_value(n); };
    auto const words = [](char const* s)
    { return options::value<std::string>()->default_value(s); };
    description.add_options()("fabric", options::value<std::string>()->required(), "ip:port (UDP)")(
        "local", words("127.0.0.1:0"), "ip:port of the caller's sockets")("sockets", number(4),
                                                                          "number of sockets")(
        "upstream-control", options::value<std::string>(), "ip:port of the upstreams' HTTP report")(
        "request-services", words("1"), "ids, separated by commas")(
        "stream-services", words("1"), "ids, separated by commas")("upload-services", words("2"),
                                                                   "ids, separated by commas")(
        "requests", number(0), "number of requests")("rate", real(1000), "requests per second")(
        "request-flows", number(16), "request flows for each service")(
        "deadline-ms", options::value<std::uint32_t>()->default_value(1000),
        "deadline of each request")("idempotent", real(0.5), "share of idempotent requests")(
        "cancel", real(0), "share of requests that are cancelled")(
        "payload", number(100), "bytes of filler in a request")("streams", number(0),
                                                                "concurrent streams")(
        "stream-rate", options::value<std::uint32_t>()->default_value(10),
        "packets per second of each stream")("uploads", number(0), "number of uploads")(
        "uploads-at-once", number(8),
        "concurrent uploads")("upload-packets", options::value<std::uint32_t>()->default_value(100),
                              "packets in each upload")("upload-bytes", number(1000),
                                                        "filler bytes in each upload packet")(
        "open-rate", real(200), "stream opens per second")("duration", real(0),
                                                           "minimum load duration in seconds")(
        "seed", number(1), "seed of random choices")("report", options::value<std::string>(),
                                                     "file for the full report as JSON")(
        "by-hand", options::bool_switch(),
        "use generated flow ids; --fabric is a single upstream, for runs without balancers")(
        "verbose", options::bool_switch(), "print the full report");
    options::variables_map values;
    if (!parse_options(argc, argv, description, values))
        return 0;
    asio::io_context io(1);
    load_run load(io, values);
    load.start();
    run_until_stopped(io, values);
    return load.summary();
}
