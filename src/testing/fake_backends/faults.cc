#include "testing/fake_backends/faults.h"

#include <chrono>
#include <stdexcept>

namespace wasabihook::testing {
namespace {

using Json = nlohmann::json;

Duration Milliseconds(const Json& value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(value.get<double>()));
}

bool ChangeTiming(const std::string& name, const Json& value, Faults* faults) {
  if (name == "slow_ms") {
    faults->slow = Milliseconds(value);
  } else if (name == "straggle_share") {
    faults->straggle_share = value.get<double>();
  } else if (name == "straggle_ms") {
    faults->straggle = Milliseconds(value);
  } else if (name == "cold_factor") {
    faults->cold_factor = value.get<double>();
  } else if (name == "cold_ms") {
    faults->cold_start = LoopClock::now();
    faults->cold_end = faults->cold_start + Milliseconds(value);
  } else {
    return false;
  }
  return true;
}

bool ChangeReplies(const std::string& name, const Json& value, Faults* faults) {
  if (name == "lose_reply_share") {
    faults->lose_reply_share = value.get<double>();
  } else if (name == "truncate_share") {
    faults->truncate_share = value.get<double>();
  } else if (name == "short_rows_share") {
    faults->short_rows_share = value.get<double>();
  } else if (name == "duplicate_share") {
    faults->duplicate_share = value.get<double>();
  } else if (name == "swap_share") {
    faults->swap_share = value.get<double>();
  } else {
    return false;
  }
  return true;
}

bool ChangeRefusals(const std::string& name,
                    const Json& value,
                    Faults* faults) {
  if (name == "draining") {
    faults->draining = value.get<bool>();
  } else if (name == "shed_share") {
    faults->shed_share = value.get<double>();
  } else if (name == "refuse_versions") {
    faults->refuse_versions = value.get<bool>();
  } else if (name == "ignore_deadline") {
    faults->ignore_deadline = value.get<bool>();
  } else {
    return false;
  }
  return true;
}

// Sets the reported value; null restores the true one.
template <typename T>
void SetClaimedValue(const Json& value, std::optional<T>* claim) {
  *claim = value.is_null() ? std::optional<T>() : value.get<T>();
}

bool ChangeClaims(const std::string& name, const Json& value, Faults* faults) {
  if (name == "claimed_state") {
    SetClaimedValue(value, &faults->claimed_state);
  } else if (name == "claimed_running") {
    SetClaimedValue(value, &faults->claimed_running);
  } else if (name == "claimed_queued") {
    SetClaimedValue(value, &faults->claimed_queued);
  } else {
    return false;
  }
  return true;
}

}  // namespace

void ChangeFaults(const Json& change, Faults* faults) {
  if (!change.is_object()) {
    throw std::invalid_argument("faults must be an object");
  }
  if (change.value("reset", false)) {
    *faults = Faults();
  }
  for (const auto& [name, value] : change.items()) {
    if (name == "silent" || name == "lost" || name == "reset") {
      continue;
    }
    if (!ChangeTiming(name, value, faults) &&
        !ChangeReplies(name, value, faults) &&
        !ChangeRefusals(name, value, faults) &&
        !ChangeClaims(name, value, faults)) {
      throw std::invalid_argument("unknown fault: " + name);
    }
  }
}

}  // namespace wasabihook::testing
