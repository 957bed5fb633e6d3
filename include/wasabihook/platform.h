#ifndef WASABIHOOK_PLATFORM_H_
#define WASABIHOOK_PLATFORM_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "wasabihook/ids.h"
#include "wasabihook/units.h"

namespace wasabihook {

struct KeyValue {
  std::string key;
  std::string value;
  Revision revision;
};

enum class StoreStatus : uint8_t {
  kOk,
  kNotFound,
  kConflict,     // Compare-and-swap failed; `current` holds the stored value.
  kUnavailable,  // The store did not process the call; a write had no effect.
  kUnknown,      // The response was lost; a write may have taken effect.
  kTooLarge,
};

struct GetResult {
  StoreStatus status = StoreStatus::kUnavailable;
  KeyValue entry;  // Valid for kOk.
};

struct WriteResult {
  StoreStatus status = StoreStatus::kUnavailable;
  Revision revision;                // Valid for kOk.
  std::optional<KeyValue> current;  // May be set for kConflict.
};

struct ListResult {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<KeyValue> entries;
  Revision store_revision;
};

// Client of the platform's key-value service. Thread-safe. Each call leads to
// exactly one callback, never from within the call itself. Each call, including
// a long-polling List(), counts against the platform's rate limits.
class KeyValueStore {
 public:
  virtual ~KeyValueStore() = default;

  virtual void Get(std::string key, std::function<void(GetResult)> done) = 0;
  // Lists all keys that start with `prefix`, in key order. If `newer_than` is
  // set, waits up to `wait` until the store revision of the prefix exceeds it.
  virtual void List(std::string prefix,
                    std::optional<Revision> newer_than,
                    Duration wait,
                    std::function<void(ListResult)> done) = 0;
  // Writes if the revision of the key equals `expected`; with revision 0,
  // writes only if the key does not exist.
  virtual void CompareAndSwap(std::string key,
                              Revision expected,
                              std::string value,
                              std::function<void(WriteResult)> done) = 0;
  virtual void Delete(std::string key,
                      Revision expected,
                      std::function<void(WriteResult)> done) = 0;
};

enum class ListedState : uint8_t { kLive, kLeaving };

struct ListedInstance {
  InstanceId id;
  std::string peer_address;  // "ip:port" of the peer protocol.
  DataCentreId data_centre;
  Incarnation incarnation;
  ListedState state = ListedState::kLive;
};

struct InstanceListResult {
  StoreStatus status = StoreStatus::kUnavailable;
  std::vector<ListedInstance> instances;
};

// Client of the platform's list of instances, which may be out of date.
class InstanceList {
 public:
  virtual ~InstanceList() = default;
  virtual void ListInstances(std::function<void(InstanceListResult)> done) = 0;
  // Registers this instance, renews its registration or marks it as leaving.
  virtual void Announce(ListedInstance self,
                        std::function<void(StoreStatus)> done) = 0;
};

}  // namespace wasabihook

#endif  // WASABIHOOK_PLATFORM_H_
