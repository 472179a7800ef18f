// The active configuration, indexed for routing.
//
// A view is built once per accepted revision and is immutable. Traffic threads
// hold it by shared pointer, so a running query keeps the plan it started with.
// The shards of all services are numbered densely, so that wait queues and
// replica lists are plain vectors. Building is linear in the size of the text.

#ifndef TRAY_TEXT_TOPOLOGY_VIEW_H_
#define TRAY_TEXT_TOPOLOGY_VIEW_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tray/base/enum_names.h"
#include "tray/text/topology.h"

namespace baobabtray {

// Kinds of places that operators can take out of service.
enum class place_kind { kDataCentre, kServer };
constexpr name_table<place_kind, 2> kPlaceKindNames = {{
    {place_kind::kDataCentre, "data_centre"},
    {place_kind::kServer, "server"},
}};

// A data centre or backend server, by name.
struct place {
  place_kind kind = place_kind::kDataCentre;
  std::string name;

  friend bool operator==(const place&, const place&) = default;
};

// One shard of one service, and the backend servers configured for it.
struct shard_group {
  int service = 0;
  int shard = 0;
  std::vector<int> servers;  // indexes in service_topology::servers
};

struct topology_view {
  int64_t revision = 0;
  std::shared_ptr<const service_topology> topology;
  std::vector<place> out_of_service;
  std::vector<bool> server_out_of_service;  // by server
  std::vector<shard_group> groups;          // shards of all services
  std::vector<int> first_group;             // by service
  // By service: the groups that a query to it involves.
  std::vector<std::vector<int>> plans;
  std::vector<int> customer_of;          // by service; -1: no customer
  std::vector<uint64_t> service_hashes;  // by service: HashOf(name)
  std::vector<uint64_t> server_hashes;   // by server: HashOf(name)
};

std::shared_ptr<const topology_view> BuildTopologyView(
    int64_t revision, std::shared_ptr<const service_topology> topology,
    std::vector<place> out_of_service);

// True if the place exists in the topology.
bool HasPlace(const service_topology& topology, const place& p);

}  // namespace baobabtray

#endif  // TRAY_TEXT_TOPOLOGY_VIEW_H_
