// HTTP calls to the store. See store_client.h.

#include "tray/wire/store_client.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "tray/base/json.h"
#include "tray/base/strings.h"

namespace baobabtray {
namespace {

store_fault ToStoreFault(const fetch_result& r) {
  if (r.fault == fetch_fault::kNotSent) return store_fault::kNotSent;
  if (r.fault != fetch_fault::kNone) return store_fault::kLost;
  switch (r.status) {
    case 200:
      return store_fault::kNone;
    case 204:
    case 404:
      return store_fault::kAbsent;
    case 409:
      return store_fault::kConflict;
    default:
      return store_fault::kLost;  // unclear whether the call took effect
  }
}

// Decodes an entry of the host list. Returns nullopt if it is not one.
std::optional<listed_host> DecodeHost(const nlohmann::json& item) {
  try {
    auto peers = ParseEndpoint(StringOf(item.at("peers"), "peers"));
    if (!peers.ok()) return std::nullopt;
    listed_host host{.peers = *peers};
    if (const auto* name = FindField(item, "name"))
      host.name = StringOf(*name, "name");
    if (const auto* leaving = FindField(item, "leaving"))
      host.leaving = BoolOf(*leaving, "leaving");
    return host;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::vector<listed_host> DecodeHostList(std::string_view text) {
  std::vector<listed_host> hosts;
  nlohmann::json list = ParseJson(text);
  if (!list.is_array()) return hosts;
  for (const nlohmann::json& item : list) {
    std::optional<listed_host> host = DecodeHost(item);
    if (host) hosts.push_back(*std::move(host));
  }
  return hosts;
}

void store_client::Call(std::string_view name, fetch_request request,
                        store_callback done) {
  request.to = store_;
  http_.Start(std::move(request), [this, name,
                                   done = std::move(done)](fetch_result reply) {
    store_result result;
    result.fault = ToStoreFault(reply);
    result.revision =
        ParseNumber<uint64_t>(HeaderOf(reply, "X-Revision")).value_or(0);
    result.value = std::move(reply.body);
    counters_.CountStoreCall(name, NameOf(kStoreFaultNames, result.fault));
    done(std::move(result));
  });
}

void store_client::Read(const std::string& key, store_callback done) {
  Call("read",
       {.method = "GET", .path = "/v1/kv/" + key, .timeout = kCallTimeout},
       std::move(done));
}

void store_client::CompareAndSwap(const std::string& key, uint64_t expected,
                                  std::string value, store_callback done) {
  // On a new connection, libcurl does not resend the write by itself.
  Call("write",
       {.method = "PUT",
        .path = fmt::format("/v1/kv/{}?if_revision={}", key, expected),
        .body = std::make_shared<std::string>(std::move(value)),
        .timeout = kCallTimeout,
        .new_connection = true},
       std::move(done));
}

void store_client::Watch(const std::string& key, uint64_t after,
                         store_callback done) {
  Call("watch",
       {.method = "GET",
        .path = fmt::format("/v1/watch/{}?after={}&wait_ms={}", key, after,
                            kWatchTimeout / kMillisecond),
        .timeout = kWatchTimeout + kCallTimeout},
       std::move(done));
}

void store_client::ListHosts(
    std::function<void(std::vector<listed_host>)> done) {
  Call("hosts", {.method = "GET", .path = "/v1/hosts", .timeout = kCallTimeout},
       [done = std::move(done)](store_result result) {
         if (result.fault != store_fault::kNone) return done({});
         done(DecodeHostList(result.value));
       });
}

}  // namespace baobabtray
