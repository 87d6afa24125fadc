#include "transport/peer_rpc.hpp"

#include "transport/peer.grpc.pb.h"

#include <chrono>
#include <grpcpp/grpcpp.h>
#include <grpcpp/resource_quota.h>
#include <map>
#include <mutex>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdexcept>

namespace chivelever
{

namespace
{

// Limits on gRPC's share of the 32 MB budget of the control plane.
constexpr int max_server_threads = 4;
constexpr std::size_t max_buffer_bytes = 8 * 1024 * 1024;
constexpr int max_message_bytes = 4 * 1024 * 1024;
// A configuration snapshot of 400 KB takes tens of milliseconds within a zone and more between
// zones. A fetch from an unresponsive host must leave time for another one within the 3 s after
// which a zone change must be in force.
constexpr auto call_timeout = std::chrono::milliseconds(600);
// Only a few peers are called, so channels that are unused for a minute disconnect to free memory.
constexpr int idle_timeout_ms = 60'000;
constexpr std::size_t max_timeline_events = 20'000;
constexpr char const* token_header = "chivelever-secret";

// Derives a token that proves knowledge of the cluster secret without transmitting it.
std::string derive_token(std::string_view cluster_secret)
{
    std::string const text = "peer-call/" + std::string(cluster_secret);
    unsigned char digest[EVP_MAX_MD_SIZE];
    std::size_t size = 0;
    if (EVP_Q_digest(nullptr, "SHA256", nullptr, text.data(), text.size(), digest, &size) != 1)
        throw std::runtime_error("SHA-256 failed");
    std::string token;
    for (std::size_t i = 0; i < size; ++i)
    {
        token += "0123456789abcdef"[digest[i] >> 4];
        token += "0123456789abcdef"[digest[i] & 15];
    }
    return token;
}

wire::pool_handover to_wire(pool_handover const& m)
{
    wire::pool_handover w;
    w.set_pool(m.pool.packed());
    w.set_host(m.from.host.value);
    w.set_run(m.from.run.value);
    for (outstanding_item const& i : m.upstreams)
    {
        auto& item = *w.add_upstreams();
        item.set_upstream(i.upstream.value);
        item.set_count(i.count);
        item.set_remaining_ms(i.remaining_ms);
        item.set_limit(i.limit);
        item.set_flows(i.flows);
    }
    return w;
}

pool_handover from_wire(wire::pool_handover const& w)
{
    pool_handover m{
        pool_id::from_packed(w.pool()), {{static_cast<std::uint16_t>(w.host())}, {w.run()}}, {}};
    for (auto const& i : w.upstreams())
        m.upstreams.push_back({{i.upstream()},
                               static_cast<std::uint16_t>(i.count()),
                               i.remaining_ms(),
                               static_cast<std::uint16_t>(i.limit()),
                               i.flows()});
    return m;
}

void fill_reply(wire::status_reply& w, host_status const& s)
{
    w.set_host(s.instance.host.value);
    w.set_run(s.instance.run.value);
    w.set_zone(s.zone.value);
    w.set_revision(s.rev.value);
    w.set_list_version(s.list_version);
    w.set_state(static_cast<std::uint32_t>(s.state));
    w.set_violations(s.violations);
    w.set_clock(s.clock);
    w.set_detail(s.detail);
}

host_status from_wire(wire::status_reply const& w)
{
    return {{{static_cast<std::uint16_t>(w.host())}, {w.run()}},
            {static_cast<std::uint8_t>(w.zone())},
            {w.revision()},
            w.list_version(),
            w.state() == 0 ? host_state::live : host_state::leaving,
            w.violations(),
            w.detail(),
            w.clock()};
}

// Serves the calls of other hosts; calls without the cluster's token are rejected.
class service_impl final : public wire::peer::Service
{
public:
    service_impl(std::string token, peer_handlers handlers)
        : token_(std::move(token)), handlers_(std::move(handlers))
    {
    }

    grpc::Status fetch(grpc::ServerContext* c, wire::fetch_request const* q,
                       wire::fetch_reply* r) override
    {
        if (!authenticated(*c))
            return unauthenticated();
        fetch_result const result = handlers_.fetch({q->since()}, q->list_version());
        for (std::string const& change : result.changes)
            r->add_changes(change);
        r->set_snapshot(result.snapshot);
        r->set_host_list(result.host_list);
        r->set_clock(handlers_.clock(q->clock()));
        return grpc::Status::OK;
    }

    grpc::Status status(grpc::ServerContext* c, wire::status_request const* q,
                        wire::status_reply* r) override
    {
        if (!authenticated(*c))
            return unauthenticated();
        hybrid_time const clock = handlers_.clock(q->clock());
        fill_reply(*r, handlers_.status());
        r->set_clock(clock);
        return grpc::Status::OK;
    }

    grpc::Status timeline(grpc::ServerContext* c, wire::timeline_request const* q,
                          wire::timeline_reply* r) override
    {
        if (!authenticated(*c))
            return unauthenticated();
        std::vector<event> const events = handlers_.timeline(q->since(), q->subject());
        std::size_t const first =
            events.size() > max_timeline_events ? events.size() - max_timeline_events : 0;
        for (std::size_t i = first; i < events.size(); ++i)
        {
            auto& w = *r->add_events();
            w.set_time(events[i].time);
            w.set_host(events[i].host.value);
            w.set_kind(events[i].kind);
            w.set_subject(events[i].subject);
            w.set_detail(events[i].detail);
        }
        r->set_clock(handlers_.clock(q->clock()));
        return grpc::Status::OK;
    }

    grpc::Status handover(grpc::ServerContext* c, wire::pool_handover const* q,
                          wire::status_reply* r) override
    {
        if (!authenticated(*c))
            return unauthenticated();
        handlers_.handover(from_wire(*q));
        fill_reply(*r, handlers_.status());
        return grpc::Status::OK;
    }

private:
    bool authenticated(grpc::ServerContext const& c) const
    {
        auto const& metadata = c.client_metadata();
        auto const it = metadata.find(token_header);
        return it != metadata.end() && it->second.size() == token_.size() &&
               CRYPTO_memcmp(it->second.data(), token_.data(), token_.size()) == 0;
    }

    static grpc::Status unauthenticated()
    {
        return {grpc::StatusCode::UNAUTHENTICATED, "not a member of this cluster"};
    }

    std::string token_;
    peer_handlers handlers_;
};

} // namespace

struct peer_server::impl
{
    impl(std::string token, peer_handlers handlers) : service(std::move(token), std::move(handlers))
    {
    }
    service_impl service;
    std::unique_ptr<grpc::Server> server;
};

peer_server::peer_server(endpoint local, std::string_view cluster_secret, peer_handlers handlers)
    : impl_(std::make_unique<impl>(derive_token(cluster_secret), std::move(handlers)))
{
    grpc::ResourceQuota quota("chivelever");
    quota.SetMaxThreads(max_server_threads).Resize(max_buffer_bytes);
    grpc::ServerBuilder builder;
    builder.SetResourceQuota(quota);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, 1);
    builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, 2);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    int port = 0;
    builder.AddListeningPort(to_string(local), grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&impl_->service);
    impl_->server = builder.BuildAndStart();
    if (!impl_->server || port == 0)
        throw std::runtime_error("cannot listen on " + to_string(local) + " for peer calls");
}

peer_server::~peer_server()
{
    stop();
}

void peer_server::stop()
{
    if (impl_->server)
        impl_->server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(200));
}

struct peer_client::impl
{
    using stub_ptr = std::shared_ptr<wire::peer::Stub>;

    stub_ptr stub_for(endpoint host)
    {
        std::lock_guard const lock(mutex);
        stub_ptr& s = stubs[host];
        if (!s)
        {
            grpc::ChannelArguments args;
            args.SetInt(GRPC_ARG_CLIENT_IDLE_TIMEOUT_MS, idle_timeout_ms);
            args.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 2000);
            args.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 200);
            args.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
            args.SetMaxReceiveMessageSize(max_message_bytes);
            s = wire::peer::NewStub(grpc::CreateCustomChannel(
                to_string(host), grpc::InsecureChannelCredentials(), args));
        }
        return s;
    }

    // Executes one call with the timeout and the cluster's token.
    template<class Request, class Reply, class Method>
    std::optional<Reply> call(endpoint host, Request& request, Method method)
    {
        grpc::ClientContext context;
        context.set_deadline(std::chrono::system_clock::now() + call_timeout);
        context.AddMetadata(token_header, token);
        Reply reply;
        stub_ptr const s = stub_for(host);
        if (!((*s).*method)(&context, request, &reply).ok())
            return {};
        return reply;
    }

    std::string token;
    std::function<hybrid_time()> now;
    std::function<void(hybrid_time)> observe;
    std::mutex mutex;
    std::map<endpoint, stub_ptr> stubs;
};

peer_client::peer_client(std::string_view cluster_secret, std::function<hybrid_time()> now,
                         std::function<void(hybrid_time)> observe)
    : impl_(std::make_unique<impl>())
{
    impl_->token = derive_token(cluster_secret);
    impl_->now = std::move(now);
    impl_->observe = std::move(observe);
}

peer_client::~peer_client() = default;

std::optional<fetch_result> peer_client::fetch(endpoint host, revision since,
                                               std::uint64_t list_version)
{
    wire::fetch_request q;
    q.set_since(since.value);
    q.set_list_version(list_version);
    q.set_clock(impl_->now());
    auto const r =
        impl_->call<wire::fetch_request, wire::fetch_reply>(host, q, &wire::peer::Stub::fetch);
    if (!r)
        return {};
    impl_->observe(r->clock());
    return fetch_result{
        {r->changes().begin(), r->changes().end()}, r->snapshot(), r->host_list(), r->clock()};
}

std::optional<host_status> peer_client::status(endpoint host)
{
    wire::status_request q;
    q.set_clock(impl_->now());
    auto const r =
        impl_->call<wire::status_request, wire::status_reply>(host, q, &wire::peer::Stub::status);
    if (!r)
        return {};
    impl_->observe(r->clock());
    return from_wire(*r);
}

std::optional<std::vector<event>> peer_client::timeline(endpoint host, hybrid_time since,
                                                        std::string const& subject)
{
    wire::timeline_request q;
    q.set_since(since);
    q.set_subject(subject);
    q.set_clock(impl_->now());
    auto const r = impl_->call<wire::timeline_request, wire::timeline_reply>(
        host, q, &wire::peer::Stub::timeline);
    if (!r)
        return {};
    impl_->observe(r->clock());
    std::vector<event> events;
    for (auto const& w : r->events())
        events.push_back(
            {w.time(), {static_cast<std::uint16_t>(w.host())}, w.kind(), w.subject(), w.detail()});
    return events;
}

bool peer_client::handover(endpoint host, pool_handover const& message)
{
    wire::pool_handover q = to_wire(message);
    return impl_
        ->call<wire::pool_handover, wire::status_reply>(host, q, &wire::peer::Stub::handover)
        .has_value();
}

} // namespace chivelever
