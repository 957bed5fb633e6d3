#include "testing/fake_backends/fake_fleet.h"

#include <algorithm>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace wasabihook::testing {
namespace {

using Json = nlohmann::json;

std::string GroupId(uint32_t group) {
  return "g" + std::to_string(group);
}

Json ToJson(const FakeServerStats& stats, double busy_share) {
  return {{"received", stats.received},
          {"started", stats.started},
          {"finished", stats.finished},
          {"refused", stats.refused},
          {"expired", stats.expired},
          {"cancelled", stats.cancelled},
          {"cancel_calls", stats.cancel_calls},
          {"crashes", stats.crashes},
          {"health_calls", stats.health_calls},
          {"running", stats.running},
          {"queued", stats.queued},
          {"open_connections", stats.open_connections},
          {"peak_connections", stats.peak_connections},
          {"accepted_connections", stats.accepted_connections},
          {"refused_connections", stats.refused_connections},
          {"busy_share", busy_share}};
}

}  // namespace

bool ServerSelector::Matches(const FakeServerInfo& info) const {
  return (server.empty() || server == info.id.value()) &&
         (index_set.empty() || index_set == info.index_set) &&
         (group.empty() || group == GroupId(info.base_group)) &&
         (data_centre.empty() || data_centre == info.data_centre);
}

ServerSelector ServerSelector::FromJson(const Json& select) {
  ServerSelector selector;
  for (const auto& [name, value] : select.items()) {
    const auto text = value.get<std::string>();
    if (name == "server") {
      selector.server = text;
    } else if (name == "index_set") {
      selector.index_set = text;
    } else if (name == "group") {
      selector.group = text;
    } else if (name == "data_centre") {
      selector.data_centre = text;
    } else {
      throw std::invalid_argument("unknown selector: " + name);
    }
  }
  return selector;
}

FakeFleet::FakeFleet(FakeFleetOptions options)
    : m_options(std::move(options)), m_log(m_options.max_logged_reads) {
  for (uint32_t i = 0; i < std::max(m_options.threads, 1U); ++i) {
    m_loops.push_back(std::make_unique<EventLoop>());
  }
  try {
    for (const FakeIndexSet& index_set : m_options.index_sets) {
      AddIndexSet(index_set);
    }
  } catch (...) {
    // Servers must be destroyed on their own loops.
    for (Entry& entry : m_servers) {
      entry.loop->RunAndWait([&] { entry.server.reset(); });
    }
    throw;
  }
}

FakeFleet::~FakeFleet() {
  for (Entry& entry : m_servers) {
    entry.loop->RunAndWait([&] { entry.server.reset(); });
  }
}

void FakeFleet::AddIndexSet(const FakeIndexSet& index_set) {
  IndexSetState state;
  state.spec = index_set;
  state.groups = index_set.groups;
  state.corpus = std::make_shared<Corpus>(index_set.name, index_set.records);
  state.corpus->View(state.index_version, state.groups);
  m_index_sets[index_set.name] = state;
  for (uint32_t group = 0; group < index_set.groups; ++group) {
    for (uint32_t replica = 0; replica < index_set.servers_per_group;
         ++replica) {
      const auto number = static_cast<uint32_t>(m_servers.size());
      EventLoop* loop = m_loops[number % m_loops.size()].get();
      FakeServerOptions options{.index_set = index_set.name,
                                .base_group = group,
                                .base_groups = index_set.groups,
                                .slots = index_set.slots,
                                .queue = index_set.queue,
                                .max_connections = index_set.max_connections,
                                .connect_delay = index_set.connect_delay,
                                .service_median = index_set.service_median,
                                .service_sigma = index_set.service_sigma,
                                .seed = m_options.seed * 1000003 + number,
                                .crash_marker = m_options.crash_marker,
                                .restart_delay = m_options.restart_delay,
                                .corpus = state.corpus,
                                .log = &m_log};
      auto server = std::make_unique<FakeServer>(loop, std::move(options));
      const uint16_t port =
          m_options.base_port == 0
              ? 0
              : static_cast<uint16_t>(m_options.base_port + number);
      std::exception_ptr error;
      loop->RunAndWait([&] {
        try {
          server->Start(port);
        } catch (const std::exception&) {
          error = std::current_exception();
        }
      });
      if (error) {
        std::rethrow_exception(error);
      }
      const auto& centres = m_options.data_centres;
      m_infos.push_back({ServerId(server->address()), index_set.name, group,
                         centres[(group + replica) % centres.size()]});
      m_servers.push_back({loop, std::move(server)});
    }
  }
}

const Corpus& FakeFleet::corpus(const std::string& index_set) const {
  std::lock_guard lock(m_mutex);
  return *m_index_sets.at(index_set).corpus;
}

size_t FakeFleet::ForEach(
    const ServerSelector& select,
    const std::function<void(FakeServer&)>& action) const {
  size_t count = 0;
  for (size_t i = 0; i < m_infos.size(); ++i) {
    if (select.Matches(m_infos[i])) {
      m_servers[i].loop->RunAndWait([&] { action(*m_servers[i].server); });
      ++count;
    }
  }
  return count;
}

size_t FakeFleet::Change(const ServerSelector& select, const Json& faults) {
  // Validates all members before any server is changed.
  Faults scratch;
  ChangeFaults(faults, &scratch);
  for (const char* name : {"silent", "lost"}) {
    if (faults.contains(name)) {
      static_cast<void>(faults[name].get<bool>());
    }
  }
  return ForEach(select, [&](FakeServer& server) { server.Change(faults); });
}

size_t FakeFleet::RollIndexVersion(const std::string& index_set,
                                   uint64_t version,
                                   const ServerSelector& select) {
  {
    std::lock_guard lock(m_mutex);
    IndexSetState& state = m_index_sets.at(index_set);
    state.index_version = version;
    // Builds the view now, so that the first query does not have to.
    state.corpus->View(version, state.groups);
  }
  ServerSelector index_set_servers = select;
  index_set_servers.index_set = index_set;
  return ForEach(index_set_servers,
                 [&](FakeServer& server) { server.SetIndexVersion(version); });
}

uint64_t FakeFleet::Repartition(const std::string& index_set, uint32_t groups) {
  uint64_t version = 0;
  {
    std::lock_guard lock(m_mutex);
    IndexSetState& state = m_index_sets.at(index_set);
    if (groups == 0) {
      throw std::invalid_argument("groups must be at least 1");
    }
    version = ++state.map_version;
    state.groups = groups;
    state.corpus->View(state.index_version, groups);
  }
  ForEach({.index_set = index_set},
          [&](FakeServer& server) { server.SetMap(version, groups); });
  return version;
}

FakeServerStats FakeFleet::Stats(const ServerId& server) const {
  FakeServerStats stats;
  ForEach({.server = server.value()},
          [&](FakeServer& found) { stats = found.Stats(); });
  return stats;
}

Json FakeFleet::StatsJson() const {
  Json servers = Json::object();
  const std::chrono::duration<double> uptime = LoopClock::now() - m_started;
  for (size_t i = 0; i < m_infos.size(); ++i) {
    const FakeServerStats stats = Stats(m_infos[i].id);
    uint32_t slots = 1;
    {
      std::lock_guard lock(m_mutex);
      slots = m_index_sets.at(m_infos[i].index_set).spec.slots;
    }
    const std::chrono::duration<double> busy = stats.busy;
    servers[m_infos[i].id.value()] = ToJson(stats, busy / uptime / slots);
  }
  return {{"servers", std::move(servers)},
          {"operation_runs", m_log.RunsByKey()}};
}

std::string FakeFleet::SettingsToml(const std::string& team) const {
  std::lock_guard lock(m_mutex);
  std::string text = "[team]\nname = " + Json(team).dump() + "\n";
  for (const auto& [name, state] : m_index_sets) {
    AppendSettings(name, state, &text);
  }
  return text;
}

void FakeFleet::AppendSettings(const std::string& name,
                               const IndexSetState& state,
                               std::string* text) const {
  std::ostringstream out;
  const auto view = state.corpus->View(state.index_version, state.groups);
  out << "\n[index_sets." << name << "]\n"
      << "index_version = " << state.index_version << "\n"
      << "map_version = " << state.map_version << "\n"
      << "slots = " << state.spec.slots << "\n"
      << "max_connections = " << state.spec.max_connections << "\n";
  const uint32_t base_groups = state.spec.groups;
  for (uint32_t group = 0; group < state.groups; ++group) {
    out << "\n[[index_sets." << name << ".groups]]\n"
        << "id = " << Json(GroupId(group)) << "\n"
        << "records = " << view->Records(group) << "\nservers = [";
    const char* separator = "";
    for (const FakeServerInfo& info : m_infos) {
      const bool holds = state.groups >= base_groups
                             ? group % base_groups == info.base_group
                             : info.base_group % state.groups == group;
      if (info.index_set == name && holds) {
        out << separator << Json(info.id.value() + "@" + info.data_centre);
        separator = ", ";
      }
    }
    out << "]\n";
  }
  *text += out.str();
}

}  // namespace wasabihook::testing
