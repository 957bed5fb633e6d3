#include "gateway/feed_choice.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace wasabihook::gateway {

std::string EncodeInstance(const InstanceRecord& record) {
  return nlohmann::json{{"data_centre", record.data_centre.value()},
                        {"feed", record.feed_address}}
      .dump();
}

InstanceRecord DecodeInstance(std::string_view value) {
  const nlohmann::json in = nlohmann::json::parse(value);
  return {.data_centre = DataCentreId(in.at("data_centre").get<std::string>()),
          .feed_address = in.at("feed").get<std::string>()};
}

void FeedChoice::Set(const InstanceId& id, InstanceRecord record) {
  m_instances[id] = std::move(record);
  m_gone.erase(id);
}

void FeedChoice::Remove(const InstanceId& id, TimePoint now) {
  if (Has(id))
    m_gone.emplace(id, now);
}

void FeedChoice::RemoveAll(TimePoint now) {
  for (const auto& [id, record] : m_instances)
    m_gone.emplace(id, now);
}

void FeedChoice::Prune(TimePoint now) {
  std::erase_if(m_gone, [this, now](const auto& entry) {
    if (now - entry.second < kInstanceRemovalGrace)
      return false;
    m_instances.erase(entry.first);
    return true;
  });
}

bool FeedChoice::IsAvoided(const std::string& address, TimePoint now) const {
  const auto found = m_avoided.find(address);
  return found != m_avoided.end() && now < found->second.until;
}

FeedSource FeedChoice::Choose(TimePoint now) const {
  const std::vector<std::string> before = Before();
  // Parent in a tree with a bounded number of children, then its ancestors.
  size_t position = before.size();
  for (uint32_t asked = 0; position > 0 && asked < kMaxFeedCandidates;
       ++asked) {
    position = (position - 1) / kMaxFeedFollowers;
    if (!IsAvoided(before[position], now))
      return {.address = before[position], .direct_only = false};
  }
  if (now < m_store_avoided) {
    const std::vector<std::string> witnesses = Witnesses(now);
    const auto informed =
        std::find(witnesses.begin(), witnesses.end(), m_informed);
    if (informed != witnesses.end())
      return {.address = *informed, .direct_only = true};
    if (!witnesses.empty())
      return {.address = witnesses.front(), .direct_only = true};
  }
  return {};
}

std::vector<std::string> FeedChoice::Before() const {
  std::vector<std::string> out;
  for (const auto& [id, record] : m_instances) {
    if (id >= m_self)
      break;
    if (record.data_centre == m_data_centre && !record.feed_address.empty())
      out.push_back(record.feed_address);
  }
  return out;
}

std::vector<std::string> FeedChoice::Witnesses(TimePoint now) const {
  // The first instance of each data centre most likely watches the store.
  std::vector<std::string> out;
  std::set<DataCentreId> seen = {m_data_centre};
  for (const auto& [id, record] : m_instances) {
    if (record.feed_address.empty() || seen.contains(record.data_centre) ||
        IsAvoided(record.feed_address, now))
      continue;
    seen.insert(record.data_centre);
    out.push_back(record.feed_address);
  }
  return out;
}

void FeedChoice::OnFailure(const std::string& address, TimePoint now) {
  Avoided& avoided = m_avoided[address];
  avoided.delay =
      std::clamp(avoided.delay * 2, kFeedRetryDelay, kFeedMaxRetryDelay);
  avoided.until = now + avoided.delay;
}

void FeedChoice::OnUninformed(const std::string& address, TimePoint now) {
  m_avoided[address] = {.until = now + kFeedRetryDelay, .delay = Duration(0)};
}

}  // namespace wasabihook::gateway
