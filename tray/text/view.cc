// Builds views. See view.h.

#include "tray/text/view.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

void NumberGroups(view* v) {
  const text& t = *v->config;
  for (size_t s = 0; s < t.services.size(); ++s) {
    v->first_group.push_back(static_cast<int>(v->groups.size()));
    for (int shard = 0; shard < t.services[s].shards; ++shard) {
      v->groups.push_back({.service = static_cast<int>(s), .shard = shard});
    }
  }
  for (size_t i = 0; i < t.servers.size(); ++i) {
    int first = v->first_group[t.servers[i].service];
    for (int shard : t.servers[i].shards) {
      v->groups[first + shard].servers.push_back(static_cast<int>(i));
    }
  }
}

std::vector<int> PlanOf(const view& v, int service) {
  std::vector<int> plan;
  for (int s : ReachableServices(*v.config, service)) {
    for (int i = 0; i < v.config->services[s].shards; ++i) {
      plan.push_back(v.first_group[s] + i);
    }
  }
  return plan;
}

bool IsOut(const std::vector<place>& out, const text& t,
           const backend_server& b) {
  return std::any_of(out.begin(), out.end(), [&](const place& p) {
    if (p.kind == place_kind::kServer) return p.name == b.name;
    return p.name == t.data_centres[b.data_centre].name;
  });
}

}  // namespace

std::shared_ptr<const view> BuildView(int64_t revision,
                                      std::shared_ptr<const text> config,
                                      std::vector<place> out) {
  auto v = std::make_shared<view>();
  v->revision = revision;
  v->config = std::move(config);
  v->out = std::move(out);
  NumberGroups(v.get());
  const text& t = *v->config;
  for (const backend_server& b : t.servers) {
    v->server_out.push_back(IsOut(v->out, t, b));
    v->server_hashes.push_back(HashOf(b.name));
  }
  for (size_t s = 0; s < t.services.size(); ++s) {
    v->plans.push_back(PlanOf(*v, static_cast<int>(s)));
    v->customer_of.push_back(t.services[s].customer);
    v->service_hashes.push_back(HashOf(t.services[s].name));
  }
  return v;
}

bool HasPlace(const text& config, const place& p) {
  if (p.kind == place_kind::kServer) {
    return config.server_by_name.contains(p.name);
  }
  return config.data_centre_by_name.contains(p.name);
}

}  // namespace baobabtray
