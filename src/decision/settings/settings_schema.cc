#include "decision/settings/settings_schema.h"

#include <chrono>
#include <utility>

#include "decision/settings/server_address.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

using std::chrono::duration_cast;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Servers of one shard group; bounds the size of a snapshot, as the target
// deployment has 20,000 servers in total.
constexpr double kMaxGroupServers = 64;
// 2^53 - 1, the greatest integer that JSON parsers and double represent
// exactly.
constexpr double kMaxExactInteger = 9007199254740991.0;

SettingValue AsMilliseconds(Duration duration) {
  return static_cast<int64_t>(duration_cast<milliseconds>(duration).count());
}

// Appends the fields of sections to a list. A `get` functor returns a reference
// to the member of a Target that a field sets.
template <typename Target>
class SectionBuilder {
 public:
  explicit SectionBuilder(std::vector<SettingField<Target>>* fields)
      : m_fields(fields) {}

  SectionBuilder& Section(std::string name) {
    m_section = std::move(name);
    return *this;
  }

  template <typename Get>
  SectionBuilder& Milliseconds(std::string key,
                               Duration min,
                               Duration max,
                               Get get,
                               std::string meaning) {
    Target defaults;
    SettingInfo info = Info(std::move(key), SettingKind::kMilliseconds,
                            AsMilliseconds(get(defaults)), std::move(meaning));
    info.range = {
        static_cast<double>(duration_cast<milliseconds>(min).count()),
        static_cast<double>(duration_cast<milliseconds>(max).count())};
    return Add(std::move(info), [get](Target& t, const SettingValue& v) {
      get(t) = milliseconds(std::get<int64_t>(v));
    });
  }

  template <typename Get>
  SectionBuilder& Integer(std::string key,
                          SettingRange range,
                          Get get,
                          std::string meaning) {
    Target defaults;
    SettingInfo info =
        Info(std::move(key), SettingKind::kInteger,
             static_cast<int64_t>(get(defaults)), std::move(meaning));
    info.range = range;
    return Add(std::move(info), [get](Target& t, const SettingValue& v) {
      auto& member = get(t);
      member =
          static_cast<std::decay_t<decltype(member)>>(std::get<int64_t>(v));
    });
  }

  template <typename Get>
  SectionBuilder& Fraction(std::string key, Get get, std::string meaning) {
    Target defaults;
    SettingInfo info = Info(std::move(key), SettingKind::kFraction,
                            get(defaults).value, std::move(meaning));
    info.range = {0, 1};
    return Add(std::move(info), [get](Target& t, const SettingValue& v) {
      get(t).value = std::get<double>(v);
    });
  }

  template <typename Get>
  SectionBuilder& Boolean(std::string key, Get get, std::string meaning) {
    Target defaults;
    return Add(Info(std::move(key), SettingKind::kBoolean, get(defaults),
                    std::move(meaning)),
               [get](Target& t, const SettingValue& v) {
                 get(t) = std::get<bool>(v);
               });
  }

  // `choices` are in the order of the enum values.
  template <typename Get>
  SectionBuilder& Choice(std::string key,
                         std::vector<std::string> choices,
                         Get get,
                         std::string meaning) {
    Target defaults;
    SettingInfo info = Info(std::move(key), SettingKind::kChoice,
                            choices.at(static_cast<size_t>(get(defaults))),
                            std::move(meaning));
    info.choices = choices;
    return Add(std::move(info),
               [get, choices](Target& t, const SettingValue& v) {
                 auto& member = get(t);
                 for (size_t i = 0; i < choices.size(); ++i) {
                   if (choices[i] == std::get<std::string>(v)) {
                     member = static_cast<std::decay_t<decltype(member)>>(i);
                   }
                 }
               });
  }

  // Adds a required key.
  SectionBuilder& Required(
      std::string key,
      SettingKind kind,
      SettingRange range,
      std::string meaning,
      std::function<void(Target&, const SettingValue&)> set) {
    SettingInfo info =
        Info(std::move(key), kind, std::nullopt, std::move(meaning));
    info.range = range;
    return Add(std::move(info), std::move(set));
  }

  SectionBuilder& ChangeIds() {
    Section("change");
    SettingInfo info =
        Info("ids", SettingKind::kNameList, std::vector<std::string>(),
             "Ids of the last changes, newest last. Written by `settings put`; "
             "settles writes whose response was lost.");
    info.range = {0, config::kMaxStoredChangeIds};
    return Add(std::move(info), [](Target& t, const SettingValue& v) {
      t.change_ids = std::get<std::vector<std::string>>(v);
    });
  }

 private:
  SettingInfo Info(std::string key,
                   SettingKind kind,
                   std::optional<SettingValue> default_value,
                   std::string meaning) const {
    SettingInfo info;
    info.section = m_section;
    info.key = std::move(key);
    info.kind = kind;
    info.default_value = std::move(default_value);
    info.meaning = std::move(meaning);
    return info;
  }

  SectionBuilder& Add(SettingInfo info,
                      std::function<void(Target&, const SettingValue&)> set) {
    m_fields->push_back({std::move(info), std::move(set)});
    return *this;
  }

  std::vector<SettingField<Target>>* m_fields;
  std::string m_section;
};

// Returns a member of the TeamSettings in a TeamDocument.
template <auto Member>
auto& InTeam(TeamDocument& document) {
  return document.settings.*Member;
}

template <auto Member>
auto& InFleet(FleetDocument& document) {
  return document.settings.*Member;
}

void AddRequestFields(SectionBuilder<TeamDocument>& b) {
  b.Section("team").Required(
      "name", SettingKind::kName, {}, "Name of the team; equals the subtree.",
      [](TeamDocument& t, const SettingValue& v) {
        t.settings.team = TeamId(std::get<std::string>(v));
      });
  b.Section("deadlines")
      .Milliseconds("default_deadline_ms", milliseconds(1), minutes(1),
                    InTeam<&TeamSettings::default_deadline>,
                    "Deadline of a request that names none.")
      .Milliseconds("max_deadline_ms", milliseconds(1), minutes(1),
                    InTeam<&TeamSettings::max_deadline>,
                    "Greatest deadline; a longer one is cut to it.")
      .Milliseconds("soft_deadline_ms", milliseconds(1), minutes(1),
                    InTeam<&TeamSettings::soft_deadline>,
                    "Time after which the policy `early` answers.");
  b.Section("coverage")
      .Choice("coverage_policy", {"early", "wait"},
              InTeam<&TeamSettings::coverage_policy>,
              "`early` answers at the soft deadline once the least coverage is "
              "met; `wait` waits for complete coverage until the deadline.")
      .Fraction("least_coverage", InTeam<&TeamSettings::least_coverage>,
                "Share of the records below which a search is an error.");
}

void AddRoutingFields(SectionBuilder<TeamDocument>& b) {
  b.Section("routing")
      .Choice("replica_choice",
              {"random", "least_outstanding", "latency_outstanding"},
              InTeam<&TeamSettings::replica_choice>,
              "How one replica of a shard group is chosen.")
      .Boolean("outlier_ejection", InTeam<&TeamSettings::outlier_ejection>,
               "Takes failing servers out of the choice for a time.")
      .Boolean("canary", InTeam<&TeamSettings::canary>,
               "Sends one sub-request first and fans out after its reply.");
  b.Section("hedging")
      .Boolean("hedging", InTeam<&TeamSettings::hedging>,
               "Sends a second sub-request when a reply is late.")
      .Fraction("extra_load_budget", InTeam<&TeamSettings::extra_load_budget>,
                "Share of sub-requests that may be hedges or retries.")
      .Integer("max_attempts", {1, 10}, InTeam<&TeamSettings::max_attempts>,
               "Attempts for one shard group, the first included.");
  b.Section("limits")
      .Boolean("admission_control", InTeam<&TeamSettings::admission_control>,
               "Refuses early what cannot finish in time.")
      .Integer("fair_share_weight", {1, 1000},
               InTeam<&TeamSettings::fair_share_weight>,
               "Relative share of a backend pool when teams compete.")
      .Integer("max_queued", {0, 100000}, InTeam<&TeamSettings::max_queued>,
               "Requests that may wait for admission at one instance.");
}

void AddOperationFields(SectionBuilder<TeamDocument>& b) {
  b.Section("operations")
      .Milliseconds("claim_retention_ms", minutes(10), hours(24 * 30),
                    InTeam<&TeamSettings::claim_retention>,
                    "How long the outcome of an operation is kept; older "
                    "operations are refused.")
      .Milliseconds("quarantine_expiry_ms", seconds(1), hours(24),
                    InTeam<&TeamSettings::quarantine_expiry>,
                    "How long a request that crashes servers is refused.");
  b.Section("objectives")
      .Milliseconds("latency_objective_ms", milliseconds(1), minutes(1),
                    InTeam<&TeamSettings::latency_objective>,
                    "Latency that counts as good.")
      .Fraction("latency_target", InTeam<&TeamSettings::latency_target>,
                "Share of requests that shall meet the latency objective.")
      .Fraction("coverage_target", InTeam<&TeamSettings::coverage_target>,
                "Share of searches that shall have complete coverage.");
}

}  // namespace

const std::vector<SettingField<TeamDocument>>& TeamFields() {
  static const auto* const fields = [] {
    auto* list = new std::vector<SettingField<TeamDocument>>;
    SectionBuilder<TeamDocument> builder(list);
    AddRequestFields(builder);
    AddRoutingFields(builder);
    AddOperationFields(builder);
    builder.ChangeIds();
    return list;
  }();
  return *fields;
}

const std::vector<SettingField<IndexSetSnapshot>>& IndexSetFields() {
  static const auto* const fields = [] {
    auto* list = new std::vector<SettingField<IndexSetSnapshot>>;
    SectionBuilder<IndexSetSnapshot>(list)
        .Section(std::string(kIndexSetSection))
        .Required("index_version", SettingKind::kInteger, {1, kMaxExactInteger},
                  "Version of the indexed data.",
                  [](IndexSetSnapshot& s, const SettingValue& v) {
                    s.id.index_version = IndexVersion(
                        static_cast<uint64_t>(std::get<int64_t>(v)));
                  })
        .Required("map_version", SettingKind::kInteger, {1, kMaxExactInteger},
                  "Version of the assignment of records to shard groups.",
                  [](IndexSetSnapshot& s, const SettingValue& v) {
                    s.id.map_version =
                        MapVersion(static_cast<uint64_t>(std::get<int64_t>(v)));
                  })
        .Integer(
            "slots", {1, 1024},
            [](IndexSetSnapshot & s) -> auto& { return s.server_limits.slots; },
            "Requests that one server runs at once.")
        .Integer(
            "max_connections", {1, 10000}, [](IndexSetSnapshot & s) -> auto& {
              return s.server_limits.max_connections;
            },
            "Connections to one server over all instances together.");
    return list;
  }();
  return *fields;
}

const std::vector<SettingField<ShardGroup>>& GroupFields() {
  static const auto* const fields = [] {
    auto* list = new std::vector<SettingField<ShardGroup>>;
    SectionBuilder<ShardGroup>(list)
        .Section(std::string(kGroupSection))
        .Required("id", SettingKind::kName, {}, "Name of the shard group.",
                  [](ShardGroup& g, const SettingValue& v) {
                    g.id = ShardGroupId(std::get<std::string>(v));
                  })
        .Required("records", SettingKind::kInteger, {0, kMaxExactInteger},
                  "Records of the group in this snapshot.",
                  [](ShardGroup& g, const SettingValue& v) {
                    g.records = static_cast<uint64_t>(std::get<int64_t>(v));
                  })
        .Required(
            "servers", SettingKind::kServerList, {1, kMaxGroupServers},
            "Servers that hold the group.",
            [](ShardGroup& g, const SettingValue& v) {
              g.servers.clear();
              for (const auto& text : std::get<std::vector<std::string>>(v)) {
                g.servers.push_back(*ParseServerAddress(text));
              }
            });
    return list;
  }();
  return *fields;
}

const std::vector<SettingField<FleetDocument>>& FleetFields() {
  static const auto* const fields = [] {
    auto* list = new std::vector<SettingField<FleetDocument>>;
    SectionBuilder<FleetDocument>(list)
        .Section("propagation")
        .Integer("watchers_per_data_centre", {1, 16},
                 InFleet<&FleetSettings::watchers_per_data_centre>,
                 "Instances of each data centre that hold the platform watch.")
        .Milliseconds("digest_period_ms", milliseconds(100), seconds(10),
                      InFleet<&FleetSettings::digest_period>,
                      "Time between two digests of one instance.")
        .Milliseconds("watch_timeout_ms", seconds(1), minutes(5),
                      InFleet<&FleetSettings::watch_timeout>,
                      "Time that one platform watch waits.")
        .Milliseconds("instance_list_period_ms", milliseconds(200), minutes(1),
                      InFleet<&FleetSettings::instance_list_period>,
                      "Least time between two reads of the platform's list by "
                      "one instance.")
        .Integer("platform_calls_per_second", {1, 10000},
                 InFleet<&FleetSettings::platform_calls_per_second>,
                 "Platform calls of one data centre for settings and "
                 "membership, per second.")
        .Section("shutdown")
        .Milliseconds("drain_notice_ms", milliseconds(0), minutes(5),
                      InFleet<&FleetSettings::drain_notice>,
                      "Time between turning readiness off and refusing work.")
        .Milliseconds("drain_limit_ms", seconds(1), hours(1),
                      InFleet<&FleetSettings::drain_limit>,
                      "Time after which a shutdown cuts off what still runs.")
        .ChangeIds();
    return list;
  }();
  return *fields;
}

}  // namespace wasabihook
