#include "transport/store_client.hpp"

#include "state/state.hpp"
#include "transport/http_client.hpp"
#include "transport/http_status.hpp"
#include "transport/log.hpp"

#include <boost/json.hpp>
#include <chrono>

namespace chivelever
{

namespace
{

constexpr duration call_timeout = std::chrono::seconds(2);
// Added to the requested wait of a watch to get its timeout.
constexpr duration watch_timeout_margin = std::chrono::seconds(2);

// Parses a JSON array whose first entry has a base64 Value and a ModifyIndex. Other JSON is
// reported as unreachable; a Value that is not valid base64 is read as empty.
store_value parse_entry(std::string const& body)
{
    boost::system::error_code error;
    boost::json::value const json = boost::json::parse(body, error);
    if (error || !json.is_array() || json.as_array().empty() || !json.as_array()[0].is_object())
        return {store_status::unreachable, {}, 0};
    auto const& entry = json.as_array()[0].as_object();
    auto const* const value = entry.if_contains("Value");
    auto const* const index = entry.if_contains("ModifyIndex");
    if (value == nullptr || !value->is_string() || index == nullptr || !index->is_number())
        return {store_status::unreachable, {}, 0};
    auto const modified = index->to_number<std::uint64_t>(error);
    if (error)
        return {store_status::unreachable, {}, 0};
    return {store_status::done, from_base64(value->as_string()).value_or(std::string()), modified};
}

} // namespace

store_value http_store::read(std::string const& target, duration timeout)
{
    ++calls_;
    auto const reply = http_call(server_, "GET", target, {}, timeout, &cancelled_);
    if (!reply)
        return {store_status::unreachable, {}, 0};
    if (reply->status == http_not_found)
        return {store_status::not_found, {}, 0};
    if (reply->status != http_ok)
        return {store_status::unreachable, {}, 0};
    store_value value = parse_entry(reply->body);
    if (value.status == store_status::unreachable)
        log::warning("store.invalid_response",
                     {{"target", target}, {"bytes", std::to_string(reply->body.size())}});
    return value;
}

store_value http_store::get(std::string const& key)
{
    return read("/v1/kv/" + key, call_timeout);
}

store_value http_store::watch(std::string const& key, std::uint64_t index, duration wait)
{
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return read("/v1/kv/" + key + "?index=" + std::to_string(index) +
                    "&wait=" + std::to_string(ms) + "ms",
                wait + watch_timeout_margin);
}

store_value http_store::compare_and_swap(std::string const& key, std::string const& value,
                                         std::uint64_t expected)
{
    ++calls_;
    auto const reply =
        http_call(server_, "PUT", "/v1/kv/" + key + "?cas=" + std::to_string(expected), value,
                  call_timeout, &cancelled_);
    if (!reply || reply->status != http_ok)
        return {store_status::unreachable, {}, 0};
    bool const accepted = reply->body.starts_with("true");
    return {accepted ? store_status::done : store_status::conflict, {}, 0};
}

store_value memory_store::read(std::string const& key) const
{
    auto const it = values_.find(key);
    return it == values_.end() ? store_value{store_status::not_found, {}, 0} : it->second;
}

store_value memory_store::get(std::string const& key)
{
    ++calls_;
    std::lock_guard const lock(mutex_);
    return read(key);
}

store_value memory_store::compare_and_swap(std::string const& key, std::string const& value,
                                           std::uint64_t expected)
{
    ++calls_;
    std::lock_guard const lock(mutex_);
    if (read(key).index != expected)
        return {store_status::conflict, {}, 0};
    values_[key] = {store_status::done, value, ++index_};
    changed_.notify_all();
    return {store_status::done, {}, index_};
}

store_value memory_store::watch(std::string const& key, std::uint64_t index, duration wait)
{
    ++calls_;
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, wait, [&] { return cancelled_ || read(key).index != index; });
    return read(key);
}

void memory_store::cancel()
{
    {
        std::lock_guard const lock(mutex_);
        cancelled_ = true;
    }
    changed_.notify_all();
}

} // namespace chivelever
