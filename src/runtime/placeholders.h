#ifndef SRC_RUNTIME_PLACEHOLDERS_H_
#define SRC_RUNTIME_PLACEHOLDERS_H_

// PRIVATE HEADER. Stand-ins for parts that are not merged yet.

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "decision/settings/settings_registry.h"
#include "wasabihook/claim_store.h"
#include "wasabihook/platform.h"
#include "wasabihook/quarantine.h"
#include "wasabihook/timer_service.h"

namespace wasabihook {

// Grants nothing, so that no operation runs.
class UnavailableClaims : public ClaimStore {
 public:
  explicit UnavailableClaims(TimerService* timers) : m_timers(timers) {}
  void Claim(ClaimKey /*key*/,
             Fingerprint /*fingerprint*/,
             TimePoint /*deadline*/,
             std::function<void(ClaimResult)> done) override {
    m_timers->SubscribeOnce(Duration(0),
                            [done = std::move(done)] { done({}); });
  }
  void Record(ClaimKey /*key*/,
              std::string /*nonce*/,
              OperationOutcome /*outcome*/) override {}

 private:
  TimerService* m_timers;
};

class NoQuarantine : public Quarantine {
 public:
  Suspicion Check(const TeamId& /*team*/, Fingerprint /*body*/) const override {
    return Suspicion::kNone;
  }
  void ReportCrash(const ServerId& /*server*/,
                   const std::vector<QuarantineEntry>& /*bodies*/) override {}
  void ReportSuccess(const TeamId& /*team*/,
                     Fingerprint /*body*/,
                     const ServerId& /*server*/) override {}
  void Merge(const QuarantineEntry& /*entry*/) override {}
  std::vector<QuarantineEntry> Entries() const override { return {}; }
  void SetOnAdded(std::function<void(QuarantineEntry)> /*hook*/) override {}
};

// Reads all settings from the store periodically.
class SettingsPoll {
 public:
  SettingsPoll(TimerService* timers,
               KeyValueStore* store,
               SettingsRegistry* registry);
  ~SettingsPoll();

 private:
  TimerService* m_timers;
  TimerHandle m_timer;
};

}  // namespace wasabihook

#endif  // SRC_RUNTIME_PLACEHOLDERS_H_
