#include "protocol/codec.hpp"

#include "protocol/peer.pb.h"

#include <cstring>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace chivelever
{

namespace
{

constexpr std::size_t max_digest_entries = 64;
constexpr std::size_t max_lease_items = 512;

std::uint64_t sign(std::string const& key, std::string const& body)
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
    to.set_host(from.who.host.value);
    to.set_run(from.who.run.value);
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
        write(*w.add_digest(), e);
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

host_id host_of(std::uint32_t v)
{
    return {static_cast<std::uint16_t>(v)};
}

heartbeat read(wire::heartbeat const& w)
{
    heartbeat h{read(w.sender()), {static_cast<std::uint8_t>(w.zone())},
                {w.config()},     w.list_version(),
                w.clock(),        {},
                w.list_settled()};
    for (wire::entry const& e : w.digest())
        h.digest.push_back(read(e));
    return h;
}

lease_request read(wire::lease_request const& w)
{
    lease_request q{{host_of(w.host()), {w.run()}}, w.round(), {}};
    for (wire::lease_item const& i : w.items())
        q.items.push_back({pool_id::from_packed(i.pool()), i.set_hash(), i.release()});
    return q;
}

lease_reply read(wire::lease_reply const& w)
{
    lease_reply r{{host_of(w.host()), {w.run()}}, w.round(), {}};
    for (wire::lease_result const& i : w.results())
        r.results.push_back({pool_id::from_packed(i.pool()),
                             i.granted(),
                             {host_of(i.current_host()), {i.current_run()}}});
    return r;
}

pool_handover read(wire::pool_handover const& w)
{
    pool_handover m{pool_id::from_packed(w.pool()), {host_of(w.host()), {w.run()}}, {}};
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
    d.set_mac(sign(key_, d.body()));
    return d.SerializeAsString();
}

std::optional<received_peer_message> peer_codec::decode(std::string_view bytes) const
{
    wire::peer_datagram d;
    wire::peer_message m;
    if (bytes.size() > max_peer_datagram_bytes ||
        !d.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    std::uint64_t const mac = sign(key_, d.body());
    std::uint64_t const got = d.mac();
    if (CRYPTO_memcmp(&mac, &got, sizeof mac) != 0 || !m.ParseFromString(d.body()))
        return {};
    host_id const from = host_of(m.from());
    switch (m.body_case())
    {
    case wire::peer_message::kBeat:
        if (m.beat().digest_size() > static_cast<int>(max_digest_entries))
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
