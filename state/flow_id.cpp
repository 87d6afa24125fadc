#include "state/flow_id.hpp"

#include "state/hash.hpp"

#include <algorithm>
#include <cstring>
#include <memory>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/kdf.h>
#include <openssl/params.h>
#include <stdexcept>

namespace chivelever
{

namespace
{

constexpr std::uint8_t layout_version = 1;
constexpr std::size_t mac_bytes = flow_id_bytes - flow_id_body_bytes;

struct mac_context_deleter
{
    void operator()(EVP_MAC_CTX* c) const { EVP_MAC_CTX_free(c); }
};

// One context per thread, since creating one per packet would allocate. The MAC size is set once
// here and persists across EVP_MAC_init; passing it to each EVP_MAC_init took 50 of 139 ns.
EVP_MAC_CTX* mac_context()
{
    static EVP_MAC* const mac = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
    if (mac == nullptr)
        throw std::runtime_error("OpenSSL does not provide SipHash");
    thread_local std::unique_ptr<EVP_MAC_CTX, mac_context_deleter> const context = []
    {
        std::size_t size = mac_bytes;
        OSSL_PARAM const params[] = {OSSL_PARAM_construct_size_t(OSSL_MAC_PARAM_SIZE, &size),
                                     OSSL_PARAM_construct_end()};
        std::unique_ptr<EVP_MAC_CTX, mac_context_deleter> c(EVP_MAC_CTX_new(mac));
        if (!c || EVP_MAC_CTX_set_params(c.get(), params) != 1)
            throw std::runtime_error("cannot initialize the SipHash context");
        return c;
    }();
    return context.get();
}

using mac_value = std::array<unsigned char, mac_bytes>;

mac_value compute_mac(std::array<std::uint8_t, 16> const& key, char const* body)
{
    mac_value out{};
    EVP_MAC_CTX* const c = mac_context();
    std::size_t written = 0;
    bool const ok =
        EVP_MAC_init(c, key.data(), key.size(), nullptr) == 1 &&
        EVP_MAC_update(c, reinterpret_cast<unsigned char const*>(body), flow_id_body_bytes) == 1 &&
        EVP_MAC_final(c, out.data(), &written, out.size()) == 1 && written == mac_bytes;
    if (!ok)
        throw std::runtime_error("cannot compute the SipHash of a flow id");
    return out;
}

// Writes and reads fixed-size fields in little-endian order.
class field_writer
{
public:
    explicit field_writer(char* data) : cursor_(data) {}
    template<class T>
    void put(T v)
    {
        for (std::size_t i = 0; i < sizeof v; ++i)
            *cursor_++ = static_cast<char>(static_cast<std::uint64_t>(v) >> (8 * i));
    }

private:
    char* cursor_;
};

class field_reader
{
public:
    explicit field_reader(char const* data) : cursor_(data) {}
    template<class T>
    T get()
    {
        std::uint64_t v = 0;
        for (std::size_t i = 0; i < sizeof(T); ++i)
            v |= std::uint64_t{static_cast<unsigned char>(*cursor_++)} << (8 * i);
        return static_cast<T>(v);
    }

private:
    char const* cursor_;
};

} // namespace

flow_signer::flow_signer(std::string_view cluster_secret, std::uint32_t key_epoch)
    : epoch_(key_epoch)
{
    for (std::size_t key_index = 0; key_index < accepted_epochs; ++key_index)
    {
        std::string const info =
            "flow-id/" + std::to_string(static_cast<std::uint8_t>(key_epoch + 1 - key_index));
        unsigned char digest[EVP_MAX_MD_SIZE];
        std::size_t size = 0;
        if (EVP_Q_mac(nullptr, "HMAC", nullptr, "SHA256", nullptr, cluster_secret.data(),
                      cluster_secret.size(), reinterpret_cast<unsigned char const*>(info.data()),
                      info.size(), digest, sizeof digest, &size) == nullptr)
            throw std::runtime_error("cannot derive a flow id key with HMAC-SHA256");
        std::copy_n(digest, keys_[key_index].size(), keys_[key_index].begin());
    }
}

encoded_flow_id flow_signer::sign(flow_id const& id) const
{
    encoded_flow_id out{};
    field_writer writer(out.data());
    writer.put(layout_version);
    writer.put(static_cast<std::uint8_t>(id.kind));
    writer.put(id.zone.value);
    writer.put(static_cast<std::uint8_t>(epoch_));
    writer.put(id.service.value);
    writer.put(id.upstream.value);
    writer.put(id.upstream_owner.value);
    writer.put(id.address.address);
    writer.put(id.address.port);
    writer.put(id.issuer.host.value);
    writer.put(id.issuer.run.value);
    writer.put(id.config.value);
    writer.put(id.expires_ms);
    writer.put(id.serial);
    writer.put(std::uint32_t{0}); // reserved
    // keys_[0] belongs to the next epoch, keys_[1] to the current one.
    mac_value const mac = compute_mac(keys_[1], out.data());
    std::memcpy(out.data() + flow_id_body_bytes, mac.data(), mac_bytes);
    return out;
}

std::optional<flow_id> flow_signer::verify(std::string_view bytes) const
{
    if (bytes.size() != flow_id_bytes)
        return {};
    field_reader reader(bytes.data());
    if (reader.get<std::uint8_t>() != layout_version)
        return {};
    flow_id id;
    id.kind = static_cast<flow_kind>(reader.get<std::uint8_t>());
    id.zone = {reader.get<std::uint8_t>()};
    id.key_epoch = reader.get<std::uint8_t>();
    std::size_t const key_index = static_cast<std::uint8_t>(epoch_ + 1 - id.key_epoch);
    if (key_index >= accepted_epochs)
        return {};
    mac_value const mac = compute_mac(keys_[key_index], bytes.data());
    if (CRYPTO_memcmp(mac.data(), bytes.data() + flow_id_body_bytes, mac_bytes) != 0)
        return {};
    id.service = {reader.get<std::uint32_t>()};
    id.upstream = {reader.get<std::uint32_t>()};
    id.upstream_owner = {reader.get<std::uint32_t>()};
    id.address.address = reader.get<std::uint32_t>();
    id.address.port = reader.get<std::uint16_t>();
    id.issuer.host = {reader.get<std::uint16_t>()};
    id.issuer.run = {reader.get<std::uint32_t>()};
    id.config = {reader.get<std::uint64_t>()};
    id.expires_ms = reader.get<std::uint32_t>();
    id.serial = reader.get<std::uint32_t>();
    return id;
}

} // namespace chivelever
