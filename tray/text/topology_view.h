// The configuration in force, in the form that routing uses.
//
// A view is built once per accepted revision and never changes after; traffic
// threads hold it by shared pointer, so a running query keeps the plan it began
// with. Shards of all services are numbered densely, so that waiting queues and
// replica lists are plain vectors. Building is linear in the text.

#ifndef TRAY_TEXT_TOPOLOGY_VIEW_H_
#define TRAY_TEXT_TOPOLOGY_VIEW_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "tray/base/enum_names.h"
#include "tray/text/topology.h"

namespace baobabtray {

// A kind of place that operators can take out of service.
enum class place_kind { kDataCentre, kServer };
constexpr name_table<place_kind, 2> kPlaceKindNames = {{
    {place_kind::kDataCentre, "data_centre"},
    {place_kind::kServer, "server"},
}};

// Something out of service.
struct place {
  place_kind kind = place_kind::kDataCentre;
  std::string name;

  friend bool operator==(const place&, const place&) = default;
};

// One shard of one service, and the backend servers that the text gives it.
struct shard_group {
  int service = 0;
  int shard = 0;
  std::vector<int> servers;  // positions in text::servers
};

struct topology_view {
  int64_t revision = 0;
  std::shared_ptr<const service_topology> topology;
  std::vector<place> out_of_service;
  std::vector<bool> server_out_of_service;  // by server position
  std::vector<shard_group> groups;          // all shards of all services
  std::vector<int> first_group;             // by service position
  std::vector<std::vector<int>> plans;   // by service: groups a query touches
  std::vector<int> customer_of;          // by service; -1 is everyone else
  std::vector<uint64_t> service_hashes;  // by service: HashOf(name)
  std::vector<uint64_t> server_hashes;   // by server: HashOf(name)
};

std::shared_ptr<const topology_view> BuildTopologyView(
    int64_t revision, std::shared_ptr<const service_topology> config,
    std::vector<place> out);

// True if the text has such a place.
bool HasPlace(const service_topology& config, const place& p);

}  // namespace baobabtray

#endif  // TRAY_TEXT_TOPOLOGY_VIEW_H_
