// Tests of flow ids, the packet and peer codecs, and Base64.
#include "protocol/protocol.hpp"

#include <catch2/catch.hpp>

using namespace chivelever;

namespace
{
flow_id sample_flow_id()
{
    flow_id id;
    id.kind = flow_kind::stream;
    id.zone = {2};
    id.key_epoch = 7;
    id.service = {11};
    id.upstream = {12};
    id.upstream_owner = {3};
    id.address = {0x7f000102, 9000};
    id.issuer = {{4}, {99}};
    id.config = {123};
    id.serial = 5;
    return id;
}
} // namespace

TEST_CASE("a flow id is unchanged after signing and verification")
{
    flow_signer const signer("secret", 7);
    auto const encoded = signer.sign(sample_flow_id());
    auto const verified = signer.verify(as_view(encoded));
    REQUIRE(verified);
    CHECK(*verified == sample_flow_id());
}

// Guards against a forged flow id that reaches an upstream.
TEST_CASE("a flow id with any bit changed is refused")
{
    flow_signer const signer("secret", 7);
    auto const encoded = signer.sign(sample_flow_id());
    for (std::size_t bit = 0; bit < flow_id_bytes * 8; ++bit)
    {
        auto forged = encoded;
        forged[bit / 8] = static_cast<char>(forged[bit / 8] ^ (1 << bit % 8));
        CHECK_FALSE(signer.verify(as_view(forged)));
    }
    CHECK_FALSE(flow_signer("other", 7).verify(as_view(encoded)));
}

// Guards against flows broken by a rotation of the key.
TEST_CASE("flow ids of the last two key epochs are accepted")
{
    auto const encoded = flow_signer("secret", 7).sign(sample_flow_id());
    CHECK(flow_signer("secret", 8).verify(as_view(encoded)));
    CHECK(flow_signer("secret", 9).verify(as_view(encoded)));
    CHECK_FALSE(flow_signer("secret", 10).verify(as_view(encoded)));
}

TEST_CASE("the codec preserves a packet and rejects oversized or truncated bytes")
{
    packet_codec codec;
    packet_view p;
    p.kind = packet_kind::request;
    p.flow = flow_kind::request;
    p.service = {3};
    p.request = {77};
    p.caller = {0x7f000001, 1234};
    p.payload = "body";
    std::string const bytes(codec.encode(p));
    auto const decoded = codec.decode(bytes);
    REQUIRE(decoded);
    CHECK(decoded->request == p.request);
    CHECK(decoded->caller == p.caller);
    CHECK(decoded->payload == "body");
    for (std::size_t n = 0; n < bytes.size(); ++n)
        CHECK_FALSE(codec.decode(bytes.substr(0, n)));
    CHECK_FALSE(codec.decode(std::string(max_packet_bytes + 1, 'x')));
    std::string const oversized(max_packet_bytes, 'x');
    p.payload = oversized;
    CHECK(codec.encode(p).empty());
}

TEST_CASE("peer datagrams are decoded only under the same secret")
{
    peer_codec const codec("secret");
    heartbeat const h{{{{3}, {9}}, 17, host_state::leaving}, {1}, {44}, 5, 6,
                      {{{{1}, {2}}, 3, host_state::live}}};
    std::string const bytes = codec.encode({3}, h);
    auto const decoded = codec.decode(bytes);
    REQUIRE(decoded);
    CHECK(std::get<heartbeat>(decoded->message) == h);
    CHECK_FALSE(peer_codec("other").decode(bytes));
}

// Guards against store values that are decoded to the wrong length. Vectors from RFC 4648.
TEST_CASE("Base64 is encoded and decoded")
{
    std::vector<std::pair<std::string, std::string>> const vectors{
        {"", ""},        {"f", "Zg=="},        {"fo", "Zm8="},
        {"foo", "Zm9v"}, {"foob", "Zm9vYg=="}, {"foobar", "Zm9vYmFy"}};
    for (auto const& [plain, text] : vectors)
    {
        CHECK(to_base64(plain) == text);
        CHECK(from_base64(text) == plain);
    }
    CHECK_FALSE(from_base64("Zg="));
    CHECK_FALSE(from_base64("Z*=="));
}
