// Builds views. See topology_view.h.

#include "tray/text/topology_view.h"

#include <algorithm>

#include "tray/base/hash.h"

namespace baobabtray {
namespace {

void NumberGroups(topology_view* v) {
  const service_topology& t = *v->topology;
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

std::vector<int> PlanOf(const topology_view& v, int service) {
  std::vector<int> plan;
  for (int s : ReachableServices(*v.topology, service)) {
    for (int i = 0; i < v.topology->services[s].shards; ++i) {
      plan.push_back(v.first_group[s] + i);
    }
  }
  return plan;
}

bool IsOut(const std::vector<place>& out, const service_topology& t,
           const backend_server& b) {
  return std::any_of(out.begin(), out.end(), [&](const place& p) {
    if (p.kind == place_kind::kServer) return p.name == b.name;
    return p.name == t.data_centres[b.data_centre].name;
  });
}

}  // namespace

std::shared_ptr<const topology_view> BuildTopologyView(
    int64_t revision, std::shared_ptr<const service_topology> config,
    std::vector<place> out) {
  auto v = std::make_shared<topology_view>();
  v->revision = revision;
  v->topology = std::move(config);
  v->out_of_service = std::move(out);
  NumberGroups(v.get());
  const service_topology& t = *v->topology;
  for (const backend_server& b : t.servers) {
    v->server_out_of_service.push_back(IsOut(v->out_of_service, t, b));
    v->server_hashes.push_back(HashOf(b.name));
  }
  for (size_t s = 0; s < t.services.size(); ++s) {
    v->plans.push_back(PlanOf(*v, static_cast<int>(s)));
    v->customer_of.push_back(t.services[s].customer);
    v->service_hashes.push_back(HashOf(t.services[s].name));
  }
  return v;
}

bool HasPlace(const service_topology& config, const place& p) {
  if (p.kind == place_kind::kServer) {
    return config.server_by_name.contains(p.name);
  }
  return config.data_centre_by_name.contains(p.name);
}

}  // namespace baobabtray
