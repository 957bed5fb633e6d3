#include "decision/settings/store_watch.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "decision/settings/settings_parser.h"
#include "wasabihook/config.h"

namespace wasabihook {

std::shared_ptr<StoreWatch> StoreWatch::Create(StoreWatchDeps deps) {
  return std::shared_ptr<StoreWatch>(new StoreWatch(std::move(deps)));
}

StoreWatch::StoreWatch(StoreWatchDeps deps)
    : m_deps(std::move(deps)),
      m_backoff(config::kPlatformBackoff, config::kWatchMaxBackoff) {}

void StoreWatch::Start() {
  Step();
}

void StoreWatch::SetCallRate(double calls_per_second) {
  std::lock_guard lock(m_mutex);
  m_rate_limiter.SetRate(calls_per_second);
}

std::optional<Duration> StoreWatch::StoreAge() const {
  std::lock_guard lock(m_mutex);
  if (!m_answered_at) {
    return std::nullopt;
  }
  return m_deps.timers->Now() - *m_answered_at;
}

bool StoreWatch::watching() const {
  std::lock_guard lock(m_mutex);
  return m_watching;
}

void StoreWatch::RunAfter(Duration delay,
                          std::function<void(StoreWatch&)> action) {
  m_deps.timers->SubscribeOnce(
      delay, [weak = weak_from_this(), action = std::move(action)] {
        if (auto self = weak.lock()) {
          action(*self);
        }
      });
}

void StoreWatch::StepAfter(Duration delay) {
  RunAfter(delay, [](StoreWatch& self) { self.Step(); });
}

void StoreWatch::Step() {
  const bool is_watcher = m_deps.is_watcher();
  std::optional<Revision> newer_than;
  uint64_t call = 0;
  Duration wait{0};
  {
    std::lock_guard lock(m_mutex);
    m_watching = is_watcher;
    if (m_read_revision && !is_watcher) {
      wait = config::kDigestPeriod;
    } else if (wait = m_rate_limiter.Acquire(m_deps.timers->Now());
               wait == Duration(0)) {
      newer_than = m_read_revision;
      call = m_active_call = ++m_last_call_id;
    }
  }
  if (call != 0) {
    ListStore(newer_than, call);
  } else {
    StepAfter(wait);
  }
}

void StoreWatch::ListStore(std::optional<Revision> newer_than, uint64_t call) {
  const Duration timeout = m_deps.registry->Fleet()->watch_timeout;
  RunAfter(timeout + config::kWatchTimeoutMargin,
           [call](StoreWatch& self) { self.OnCallTimeout(call); });
  m_deps.store->List(std::string(kSettingsKeyPrefix), newer_than, timeout,
                     [weak = weak_from_this(), call](const ListResult& result) {
                       if (auto self = weak.lock()) {
                         self->OnListed(call, result);
                       }
                     });
}

void StoreWatch::OnListed(uint64_t call, const ListResult& result) {
  const bool answered = result.status == StoreStatus::kOk;
  if (answered) {
    OfferAll(result);
  }
  Duration delay{0};
  {
    std::lock_guard lock(m_mutex);
    if (answered) {
      m_answered_at = m_deps.timers->Now();
      m_read_revision = std::max(m_read_revision.value_or(Revision(0)),
                                 result.store_revision);
      m_backoff.Reset();
    }
    if (m_active_call != call) {
      return;
    }
    m_active_call = 0;
    delay =
        answered ? config::kMinWatchInterval : m_backoff.Next(m_deps.random);
  }
  StepAfter(delay);
}

void StoreWatch::OnCallTimeout(uint64_t call) {
  Duration delay{0};
  {
    std::lock_guard lock(m_mutex);
    if (m_active_call != call) {
      return;
    }
    m_active_call = 0;
    delay = m_backoff.Next(m_deps.random);
  }
  StepAfter(delay);
}

void StoreWatch::OfferAll(const ListResult& result) {
  std::vector<const KeyValue*> entries;
  for (const KeyValue& entry : result.entries) {
    entries.push_back(&entry);
  }
  // Sorted by revision, so that the registry never has a gap below its greatest
  // revision.
  std::sort(entries.begin(), entries.end(), [](const auto* a, const auto* b) {
    return a->revision < b->revision;
  });
  for (const KeyValue* entry : entries) {
    if (entry->key.starts_with(kSettingsKeyPrefix)) {
      m_deps.registry->Offer(entry->key.substr(kSettingsKeyPrefix.size()),
                             entry->revision, entry->value,
                             SettingsSource::kStore);
    }
  }
}

}  // namespace wasabihook
