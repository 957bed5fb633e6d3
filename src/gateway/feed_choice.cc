#include "gateway/feed_choice.h"

#include <algorithm>
#include <nlohmann/json.hpp>
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
}

std::optional<std::string> FeedChoice::Choose(TimePoint now) const {
  uint32_t asked = 0;
  for (const auto& [id, record] : m_instances) {
    if (id >= m_self || asked >= kFeedCandidates)
      return std::nullopt;
    if (record.data_centre != m_data_centre || record.feed_address.empty())
      continue;
    ++asked;
    const auto avoided = m_avoided.find(record.feed_address);
    if (avoided == m_avoided.end() || now >= avoided->second.until)
      return record.feed_address;
  }
  return std::nullopt;
}

void FeedChoice::OnFailure(const std::string& address, TimePoint now) {
  Avoided& avoided = m_avoided[address];
  avoided.delay =
      std::clamp(avoided.delay * 2, kFeedRetryDelay, kFeedMaxRetryDelay);
  avoided.until = now + avoided.delay;
}

}  // namespace wasabihook::gateway
