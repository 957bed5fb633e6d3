#include "decision/settings/settings_registry.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "decision/settings/settings_parser.h"

namespace wasabihook {

std::string ToString(SettingsSource source) {
  switch (source) {
    case SettingsSource::kStore:
      return "store";
    case SettingsSource::kPeer:
      return "peer";
    case SettingsSource::kFile:
      return "file";
  }
  return "unknown";
}

SettingsRegistry::SettingsRegistry(const TimerService* timers)
    : m_timers(timers),
      m_default_fleet(std::make_shared<const FleetSettings>()) {}

OfferOutcome SettingsRegistry::Offer(const std::string& subtree,
                                     Revision revision,
                                     const std::string& text,
                                     SettingsSource source) {
  if (!IsSubtreeName(subtree) || !Wants({subtree, revision})) {
    return OfferOutcome::kStale;
  }
  // Parsed without holding the lock, because a text of 1 MB takes milliseconds.
  const Parsed parsed = Parse(subtree, revision, text);
  Value value{revision, std::make_shared<const std::string>(text)};
  OfferOutcome outcome = OfferOutcome::kStale;
  {
    Shard& shard = ShardOf(subtree);
    std::lock_guard lock(shard.mutex);
    outcome = Apply(shard.subtrees[subtree], std::move(value), parsed, source);
  }
  if (outcome != OfferOutcome::kStale) {
    ++m_generation;
  }
  if (outcome == OfferOutcome::kApplied) {
    Notify({subtree, revision, parsed.team, parsed.fleet});
  }
  return outcome;
}

SettingsRegistry::Parsed SettingsRegistry::Parse(const std::string& subtree,
                                                 Revision revision,
                                                 const std::string& text) {
  Parsed parsed;
  try {
    if (subtree == kFleetSubtree) {
      parsed.fleet = std::make_shared<const FleetSettings>(
          ParseFleetSettings(revision, text).settings);
    } else {
      const TeamId team(subtree.substr(kTeamSubtreePrefix.size()));
      parsed.team = std::make_shared<const TeamSettings>(
          ParseTeamSettings(team, revision, text).settings);
    }
  } catch (const InvalidSettings& error) {
    parsed.error = error.what();
  }
  return parsed;
}

bool SettingsRegistry::IsWanted(const Subtree* known, Revision revision) {
  if (known == nullptr) {
    return revision > Revision(0);
  }
  // A value between the last valid one and a newer rejected one may be valid.
  const bool was_rejected =
      known->rejected && known->rejected->revision == revision;
  return revision > known->newest.revision ||
         (revision > known->last_valid.revision && !was_rejected);
}

OfferOutcome SettingsRegistry::Apply(Subtree& known,
                                     Value value,
                                     const Parsed& parsed,
                                     SettingsSource source) {
  if (!IsWanted(&known, value.revision)) {
    return OfferOutcome::kStale;
  }
  const Revision revision = value.revision;
  if (revision > known.newest.revision) {
    known.newest = value;
  }
  if (parsed.error) {
    if (known.newest.revision == revision) {
      known.rejected = {revision, *parsed.error, m_timers->WallNow()};
    }
    return OfferOutcome::kRejected;
  }
  known.last_valid = std::move(value);
  known.source = source;
  known.applied_at = m_timers->WallNow();
  known.team = parsed.team;
  known.fleet = parsed.fleet;
  if (known.rejected && known.rejected->revision < revision) {
    known.rejected.reset();
  }
  return OfferOutcome::kApplied;
}

TeamSettingsPtr SettingsRegistry::Team(const TeamId& team) const {
  const std::string subtree = std::string(kTeamSubtreePrefix) + team.value();
  const Shard& shard = ShardOf(subtree);
  std::lock_guard lock(shard.mutex);
  const auto it = shard.subtrees.find(subtree);
  return it != shard.subtrees.end() ? it->second.team : nullptr;
}

FleetSettingsPtr SettingsRegistry::Fleet() const {
  const Shard& shard = ShardOf(kFleetSubtree);
  std::lock_guard lock(shard.mutex);
  const auto it = shard.subtrees.find(kFleetSubtree);
  return it != shard.subtrees.end() && it->second.fleet ? it->second.fleet
                                                        : m_default_fleet;
}

SubscriptionHandle SettingsRegistry::Subscribe(Subscriber subscriber) {
  std::lock_guard lock(m_subscriber_mutex);
  const uint64_t id = m_next_subscriber++;
  m_subscribers[id] = std::make_shared<const Subscriber>(std::move(subscriber));
  return SubscriptionHandle(id);
}

void SettingsRegistry::Unsubscribe(SubscriptionHandle handle) {
  std::lock_guard lock(m_subscriber_mutex);
  m_subscribers.erase(handle.value());
}

void SettingsRegistry::Notify(const SettingsChange& change) {
  std::vector<std::shared_ptr<const Subscriber>> subscribers;
  {
    std::lock_guard lock(m_subscriber_mutex);
    for (const auto& [id, subscriber] : m_subscribers) {
      subscribers.push_back(subscriber);
    }
  }
  for (const auto& subscriber : subscribers) {
    (*subscriber)(change);
  }
}

std::vector<SubtreeStatus> SettingsRegistry::Status() const {
  std::vector<SubtreeStatus> list;
  for (const Shard& shard : m_shards) {
    std::lock_guard lock(shard.mutex);
    for (const auto& [name, subtree] : shard.subtrees) {
      list.push_back({name, subtree.newest.revision,
                      subtree.last_valid.revision, subtree.source,
                      subtree.applied_at, subtree.rejected});
    }
  }
  std::sort(list.begin(), list.end(),
            [](const auto& a, const auto& b) { return a.subtree < b.subtree; });
  return list;
}

std::shared_ptr<const SettingsRegistry::Summary> SettingsRegistry::GetSummary()
    const {
  // Read before the subtrees, so that a concurrent change makes the summary
  // outdated rather than being missed.
  const uint64_t generation = m_generation.load();
  std::lock_guard lock(m_summary_mutex);
  if (!m_summary || m_summary->generation != generation) {
    m_summary = BuildSummary(generation);
  }
  return m_summary;
}

std::shared_ptr<const SettingsRegistry::Summary> SettingsRegistry::BuildSummary(
    uint64_t generation) const {
  auto summary = std::make_shared<Summary>();
  summary->generation = generation;
  for (const SubtreeStatus& status : Status()) {
    if (status.in_force > Revision(0)) {
      summary->revisions.push_back({status.subtree, status.in_force});
    }
    if (status.newest != status.in_force) {
      summary->revisions.push_back({status.subtree, status.newest});
    }
    summary->greatest = std::max(summary->greatest, status.newest);
  }
  std::string text;
  for (const auto& [subtree, revision] : summary->revisions) {
    text += subtree + '\n' + std::to_string(revision.value()) + '\n';
  }
  summary->hash = XXH64(text.data(), text.size(), 0);
  return summary;
}

std::vector<SubtreeRevision> SettingsRegistry::Revisions() const {
  return GetSummary()->revisions;
}

uint64_t SettingsRegistry::Hash() const {
  return GetSummary()->hash;
}

Revision SettingsRegistry::GreatestRevision() const {
  return GetSummary()->greatest;
}

bool SettingsRegistry::Wants(const SubtreeRevision& offered) const {
  const Shard& shard = ShardOf(offered.subtree);
  std::lock_guard lock(shard.mutex);
  const auto it = shard.subtrees.find(offered.subtree);
  return IsWanted(it != shard.subtrees.end() ? &it->second : nullptr,
                  offered.revision);
}

std::vector<PulledSubtree> SettingsRegistry::Texts(
    const std::string& subtree) const {
  const Shard& shard = ShardOf(subtree);
  std::lock_guard lock(shard.mutex);
  std::vector<PulledSubtree> texts;
  const auto it = shard.subtrees.find(subtree);
  if (it == shard.subtrees.end()) {
    return texts;
  }
  const auto& [last_valid, newest] =
      std::tie(it->second.last_valid, it->second.newest);
  if (last_valid.text) {
    texts.push_back({subtree, last_valid.revision, *last_valid.text});
  }
  if (newest.text && newest.revision != last_valid.revision) {
    texts.push_back({subtree, newest.revision, *newest.text});
  }
  return texts;
}

SettingsRegistry::Shard& SettingsRegistry::ShardOf(std::string_view subtree) {
  return m_shards[std::hash<std::string_view>{}(subtree) % m_shards.size()];
}

const SettingsRegistry::Shard& SettingsRegistry::ShardOf(
    std::string_view subtree) const {
  return m_shards[std::hash<std::string_view>{}(subtree) % m_shards.size()];
}

}  // namespace wasabihook
