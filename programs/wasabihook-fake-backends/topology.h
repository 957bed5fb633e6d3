// Private. Parses the index sets of the fake servers from flags or TOML.
#ifndef PROGRAMS_WASABIHOOK_FAKE_BACKENDS_TOPOLOGY_H_
#define PROGRAMS_WASABIHOOK_FAKE_BACKENDS_TOPOLOGY_H_

#include <string>
#include <string_view>

#include "testing/fake_backends/fake_fleet.h"

namespace wasabihook {

// Defaults for values that an index set does not specify.
struct TopologyDefaults {
  uint64_t records_per_group = 1000;
  uint32_t queue = 4;
  Duration service_median{0};
  double service_sigma = 0;
};

// "name:groups:servers_per_group:slots:max_connections:connect_delay_ms".
// Throws std::invalid_argument.
testing::FakeIndexSet ParseIndexSetFlag(std::string_view text,
                                        const TopologyDefaults& defaults);

// Adds the index sets of a TOML topology to `options` and, if it lists data
// centres, replaces those of `options`. Throws std::invalid_argument; the
// message for a syntax error includes the line.
void ParseTopology(std::string_view text,
                   std::string_view source,
                   const TopologyDefaults& defaults,
                   testing::FakeFleetOptions* options);

}  // namespace wasabihook

#endif  // PROGRAMS_WASABIHOOK_FAKE_BACKENDS_TOPOLOGY_H_
