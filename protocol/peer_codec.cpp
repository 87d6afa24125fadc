#include "protocol/codec.hpp"

#include "protocol/peer.pb.h"

#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace chivelever
{

namespace
{

constexpr std::size_t max_digest_entries = 80;
constexpr std::size_t max_progress_entries = 160;
constexpr std::size_t max_lease_items = 512;

std::uint64_t compute_mac(std::string const& key, std::string const& body)
{
    unsigned char digest[EVP_MAX_MD_SIZE]{};
    std::size_t size = 0;
    EVP_Q_mac(nullptr, "HMAC", nullptr, "SHA256", nullptr, key.data(), key.size(),
              reinterpret_cast<unsigned char const*>(body.data()), body.size(), digest,
              sizeof digest, &size);
    std::uint64_t mac = 0;
    std::memcpy(&mac, digest, sizeof mac);
    return mac;
}

void write(wire::entry& to, heartbeat_entry const& from)
{
    to.set_host(from.instance.host.value);
    to.set_run(from.instance.run.value);
    to.set_counter(from.counter);
    to.set_state(static_cast<std::uint32_t>(from.state));
}

heartbeat_entry read(wire::entry const& e)
{
    return {{{static_cast<std::uint16_t>(e.host())}, {e.run()}},
            e.counter(),
            e.state() == 0 ? host_state::live : host_state::leaving};
}

void write(wire::peer_message& to, heartbeat const& h)
{
    wire::heartbeat& w = *to.mutable_beat();
    write(*w.mutable_sender(), h.sender);
    w.set_zone(h.zone.value);
    w.set_config(h.config.value);
    w.set_list_version(h.list_version);
    w.set_clock(h.clock);
    w.set_list_settled(h.list_settled);
    for (heartbeat_entry const& e : h.digest)
    {
        w.add_digest_host(e.instance.host.value);
        w.add_digest_run(
            static_cast<std::int32_t>(e.instance.run.value - h.sender.instance.run.value));
        w.add_digest_counter(std::uint64_t{e.counter} << 2 | (e.suspected ? 2U : 0U) |
                             (e.state == host_state::leaving ? 1U : 0U));
    }
    std::uint32_t previous_host = 0;
    for (progress_entry const& p : h.progress)
    {
        w.add_progress_host(p.host.value - previous_host);
        w.add_progress(std::uint32_t{p.run} << progress_entry::counter_bits | p.counter);
        previous_host = p.host.value;
    }
}

void write(wire::peer_message& to, lease_request const& q)
{
    wire::lease_request& w = *to.mutable_lease_ask();
    w.set_host(q.holder.host.value);
    w.set_run(q.holder.run.value);
    w.set_round(q.round);
    for (lease_item const& i : q.items)
    {
        wire::lease_item& item = *w.add_items();
        item.set_pool(i.pool.packed());
        item.set_set_hash(i.set_hash);
        item.set_release(i.release);
    }
}

void write(wire::peer_message& to, lease_reply const& r)
{
    wire::lease_reply& w = *to.mutable_lease_answer();
    w.set_host(r.granter.host.value);
    w.set_run(r.granter.run.value);
    w.set_round(r.round);
    w.set_holder_run(r.holder_run.value);
    for (lease_result const& i : r.results)
    {
        wire::lease_result& result = *w.add_results();
        result.set_pool(i.pool.packed());
        result.set_granted(i.granted);
        result.set_current_host(i.current.host.value);
        result.set_current_run(i.current.run.value);
    }
}

void write(wire::peer_message& to, pool_handover const& m)
{
    wire::pool_handover& w = *to.mutable_handover();
    w.set_pool(m.pool.packed());
    w.set_host(m.from.host.value);
    w.set_run(m.from.run.value);
    for (outstanding_item const& i : m.upstreams)
    {
        wire::outstanding_item& item = *w.add_upstreams();
        item.set_upstream(i.upstream.value);
        item.set_count(i.count);
        item.set_remaining_ms(i.remaining_ms);
        item.set_limit(i.limit);
        item.set_flows(i.flows);
    }
}

host_id to_host_id(std::uint32_t v)
{
    return {static_cast<std::uint16_t>(v)};
}

// Whether the columns of each table are equally long and within the limits of a datagram.
bool well_formed(wire::heartbeat const& w)
{
    return w.digest_host_size() <= static_cast<int>(max_digest_entries) &&
           w.digest_run_size() == w.digest_host_size() &&
           w.digest_counter_size() == w.digest_host_size() &&
           w.progress_size() <= static_cast<int>(max_progress_entries) &&
           w.progress_host_size() == w.progress_size();
}

heartbeat read(wire::heartbeat const& w)
{
    heartbeat h{read(w.sender()), {static_cast<std::uint8_t>(w.zone())},
                {w.config()},     w.list_version(),
                w.clock(),        {},
                w.list_settled()};
    h.digest.reserve(static_cast<std::size_t>(w.digest_host_size()));
    for (int i = 0; i < w.digest_host_size(); ++i)
    {
        std::uint64_t const packed = w.digest_counter(i);
        h.digest.push_back(
            {{{static_cast<std::uint16_t>(w.digest_host(i))},
              {h.sender.instance.run.value + static_cast<std::uint32_t>(w.digest_run(i))}},
             static_cast<std::uint32_t>(packed >> 2),
             (packed & 1U) != 0 ? host_state::leaving : host_state::live,
             (packed & 2U) != 0});
    }
    h.progress.reserve(static_cast<std::size_t>(w.progress_size()));
    std::uint32_t host = 0;
    for (int i = 0; i < w.progress_size(); ++i)
    {
        host += w.progress_host(i);
        constexpr std::uint32_t counter_mask = (1U << progress_entry::counter_bits) - 1;
        constexpr std::uint32_t run_mask = (1U << progress_entry::run_bits) - 1;
        h.progress.push_back(
            {to_host_id(host),
             static_cast<std::uint8_t>(w.progress(i) >> progress_entry::counter_bits & run_mask),
             static_cast<std::uint16_t>(w.progress(i) & counter_mask)});
    }
    return h;
}

lease_request read(wire::lease_request const& w)
{
    lease_request q{{to_host_id(w.host()), {w.run()}}, w.round(), {}};
    for (wire::lease_item const& i : w.items())
        q.items.push_back({pool_id::from_packed(i.pool()), i.set_hash(), i.release()});
    return q;
}

lease_reply read(wire::lease_reply const& w)
{
    lease_reply r{{to_host_id(w.host()), {w.run()}}, w.round(), {}};
    for (wire::lease_result const& i : w.results())
        r.results.push_back({pool_id::from_packed(i.pool()),
                             i.granted(),
                             {to_host_id(i.current_host()), {i.current_run()}}});
    r.holder_run = {w.holder_run()};
    return r;
}

pool_handover read(wire::pool_handover const& w)
{
    pool_handover m{pool_id::from_packed(w.pool()), {to_host_id(w.host()), {w.run()}}, {}};
    for (wire::outstanding_item const& i : w.upstreams())
        m.upstreams.push_back({{i.upstream()},
                               static_cast<std::uint16_t>(i.count()),
                               i.remaining_ms(),
                               static_cast<std::uint16_t>(i.limit()),
                               i.flows()});
    return m;
}

} // namespace

peer_codec::peer_codec(std::string_view cluster_secret)
    : key_("peer/" + std::string(cluster_secret))
{
}

std::string peer_codec::encode(host_id from, peer_message const& message) const
{
    wire::peer_message m;
    m.set_from(from.value);
    std::visit([&m](auto const& body) { write(m, body); }, message);
    wire::peer_datagram d;
    m.SerializeToString(d.mutable_body());
    d.set_mac(compute_mac(key_, d.body()));
    return d.SerializeAsString();
}

std::optional<received_peer_message> peer_codec::decode(std::string_view bytes) const
{
    wire::peer_datagram d;
    wire::peer_message m;
    if (bytes.size() > max_peer_datagram_bytes ||
        !d.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    std::uint64_t const mac = compute_mac(key_, d.body());
    std::uint64_t const received_mac = d.mac();
    if (CRYPTO_memcmp(&mac, &received_mac, sizeof mac) != 0 || !m.ParseFromString(d.body()))
        return {};
    host_id const from = to_host_id(m.from());
    switch (m.body_case())
    {
    case wire::peer_message::kBeat:
        if (!well_formed(m.beat()))
            return {};
        return received_peer_message{from, read(m.beat())};
    case wire::peer_message::kLeaseAsk:
        if (m.lease_ask().items_size() > static_cast<int>(max_lease_items))
            return {};
        return received_peer_message{from, read(m.lease_ask())};
    case wire::peer_message::kLeaseAnswer:
        return received_peer_message{from, read(m.lease_answer())};
    case wire::peer_message::kHandover:
        return received_peer_message{from, read(m.handover())};
    default:
        return {};
    }
}

} // namespace chivelever
