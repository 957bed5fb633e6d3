#include "gateway/feed_selector.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

#include "gateway/socket.h"

namespace wasabihook::gateway {

std::string EncodeInstance(const InstanceRecord& record) {
  return nlohmann::json{{"data_centre", record.data_centre.value()},
                        {"feed", record.feed_address}}
      .dump();
}

InstanceRecord DecodeInstance(std::string_view value) {
  const nlohmann::json in = nlohmann::json::parse(value);
  InstanceRecord out{
      .data_centre = DataCentreId(in.at("data_centre").get<std::string>()),
      .feed_address = in.at("feed").get<std::string>()};
  if (!out.feed_address.empty() && !IsConnectable(out.feed_address))
    throw std::runtime_error("feed is not an address to connect to");
  return out;
}

void FeedSelector::SetInstance(const InstanceId& id, InstanceRecord record) {
  m_instances[id] = std::move(record);
  ++m_generation;
  m_removed_at.erase(id);
}

void FeedSelector::RemoveInstance(const InstanceId& id, TimePoint now) {
  if (Has(id))
    m_removed_at.emplace(id, now);
}

void FeedSelector::RemoveAllInstances(TimePoint now) {
  for (const auto& [id, record] : m_instances)
    m_removed_at.emplace(id, now);
}

void FeedSelector::Prune(TimePoint now) {
  std::erase_if(m_removed_at, [this, now](const auto& entry) {
    if (now - entry.second < kInstanceRemovalGrace)
      return false;
    m_instances.erase(entry.first);
    ++m_generation;
    return true;
  });
}

bool FeedSelector::IsInBackoff(const std::string& address,
                               TimePoint now) const {
  const auto found = m_backoffs.find(address);
  return found != m_backoffs.end() && now < found->second.until;
}

FeedSource FeedSelector::Select(TimePoint now) const {
  const std::vector<std::string> preceding = PrecedingFeeds();
  // Tries the parent in a tree with a fixed number of children per node, then
  // the parent's ancestors.
  size_t position = preceding.size();
  for (uint32_t tried = 0; position > 0 && tried < kMaxFeedCandidates;
       ++tried) {
    position = (position - 1) / kMaxFeedFollowers;
    if (!IsInBackoff(preceding[position], now))
      return {.address = preceding[position], .direct_only = false};
  }
  if (now < m_store_retry_at) {
    const std::vector<std::string> remote_feeds = RemoteFeeds(now);
    const auto preferred =
        std::find(remote_feeds.begin(), remote_feeds.end(), m_preferred_remote);
    if (preferred != remote_feeds.end())
      return {.address = *preferred, .direct_only = true};
    if (!remote_feeds.empty())
      return {.address = remote_feeds.front(), .direct_only = true};
  }
  return {};
}

std::vector<std::string> FeedSelector::PrecedingFeeds() const {
  std::vector<std::string> out;
  for (const auto& [id, record] : m_instances) {
    if (id >= m_self)
      break;
    if (record.data_centre == m_data_centre && !record.feed_address.empty())
      out.push_back(record.feed_address);
  }
  return out;
}

std::vector<std::string> FeedSelector::RemoteFeeds(TimePoint now) const {
  // The first instance of a data centre is the root of its tree, so it most
  // likely watches the store.
  std::vector<std::string> out;
  std::set<DataCentreId> seen = {m_data_centre};
  for (const auto& [id, record] : m_instances) {
    if (record.feed_address.empty() || seen.contains(record.data_centre) ||
        IsInBackoff(record.feed_address, now))
      continue;
    seen.insert(record.data_centre);
    out.push_back(record.feed_address);
  }
  return out;
}

void FeedSelector::OnPeerFailure(const std::string& address, TimePoint now) {
  Backoff& backoff = m_backoffs[address];
  backoff.delay =
      std::clamp(backoff.delay * 2, kFeedRetryDelay, kFeedMaxRetryDelay);
  backoff.until = now + backoff.delay;
}

void FeedSelector::OnPeerUnusable(const std::string& address, TimePoint now) {
  m_backoffs[address] = {.until = now + kFeedRetryDelay, .delay = Duration(0)};
}

}  // namespace wasabihook::gateway
