#include "runtime/placeholders.h"

#include "decision/settings/settings_parser.h"

namespace wasabihook {

SettingsPoll::SettingsPoll(TimerService* timers,
                           KeyValueStore* store,
                           SettingsRegistry* registry)
    : m_timers(timers) {
  const std::string prefix(kSettingsKeyPrefix);
  m_timer = timers->SubscribeEvery(config::kDigestPeriod, [=] {
    store->List(prefix, std::nullopt, Duration(0), [=](ListResult result) {
      for (const KeyValue& entry : result.entries)
        registry->Offer(entry.key.substr(prefix.size()), entry.revision,
                        entry.value, SettingsSource::kStore);
    });
  });
}

SettingsPoll::~SettingsPoll() {
  m_timers->Unsubscribe(m_timer);
}

}  // namespace wasabihook
