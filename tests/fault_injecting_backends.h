#ifndef TESTS_FAULT_INJECTING_BACKENDS_H_
#define TESTS_FAULT_INJECTING_BACKENDS_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "testing/fake_backend_transport.h"
#include "testing/manual_timer_service.h"
#include "wasabihook/random_source.h"
#include "wasabihook/snapshot.h"

namespace wasabihook::testing {

using std::chrono::milliseconds;

// Snapshot of one version. Groups and record counts differ between versions, so
// that an answer merged from two versions is detected.
inline SnapshotPtr MakeSnapshotVersion(const TeamId& team,
                                       const IndexSetId& index_set,
                                       uint64_t version) {
  auto snapshot = std::make_shared<IndexSetSnapshot>();
  snapshot->team = team;
  snapshot->index_set = index_set;
  snapshot->id = {IndexVersion(version), MapVersion(version / 2)};
  snapshot->settings_revision = Revision(version);
  const uint64_t groups = 2 + version % 3;
  for (uint64_t g = 0; g < groups; ++g) {
    ShardGroup group;
    group.id = ShardGroupId("g" + std::to_string(g));
    group.records = 100 * version + g;
    for (const char* replica : {"a", "b"}) {
      group.servers.push_back(
          {ServerId(group.id.value() + replica), DataCentreId("dc")});
    }
    snapshot->groups.push_back(std::move(group));
  }
  return snapshot;
}

// Backend servers with random faults that record what they ran. A request is
// identified by its record key, which the test makes unique.
class FaultInjectingBackends {
 public:
  FaultInjectingBackends(ManualTimerService* timers,
                         FakeBackendTransport* transport,
                         RandomSource random)
      : m_timers(timers), m_transport(transport), m_random(std::move(random)) {
    m_transport->SetOnSend([this](const SubRequest& sub) { OnSend(sub); });
  }

  // Returns true if a server ran the search or fetch with this record key.
  bool Ran(const std::string& record_key) const {
    return m_ran.contains(record_key);
  }
  // Returns how often the operation with this key ran.
  int RunCount(const IdempotencyKey& key) const {
    const auto it = m_operation_runs.find(key);
    return it == m_operation_runs.end() ? 0 : it->second;
  }
  // Makes the servers serve the versions from `oldest` to `newest`.
  void ServeFrom(uint64_t oldest, SnapshotPtr newest) {
    m_oldest = oldest;
    m_versions[newest->id] = newest;
  }
  // Sets the per mille of sub-requests with an injected fault.
  void SetFaults(uint32_t per_mille) { m_faults = per_mille; }

  // Fails everything in flight on `server`, which refuses connections for 200
  // ms.
  void Crash(const ServerId& server) {
    m_down_until[server] = m_timers->Now() + milliseconds(200);
    for (const SubRequest& sub : m_transport->Outstanding()) {
      if (sub.server == server) {
        m_transport->Fail(sub.id, SubOutcome::kConnectionLost);
      }
    }
  }

  static std::string MakeRow(const SubRequest& sub) {
    return sub.record_key + "|" + sub.payload + "|" + sub.group.value() + "|" +
           std::to_string(sub.snapshot.index_version.value());
  }

 private:
  enum Fault : uint8_t {
    kSlow,
    kOverloaded,
    kDraining,
    kNoConnection,
    kGroupNotHeld,
    kNoReply,
    kReplyLost,
    kConnectionLostAfterRun,
    kConnectionLostBeforeRun,
    kServerError,
    kTruncated,
    kOtherSnapshot,
    kSwapped,
    kDuplicated,
    kFaultCount
  };

  void OnSend(const SubRequest& sub) {
    if (m_timers->Now() < m_down_until[sub.server]) {
      FailLater(sub, SubOutcome::kConnectFailed);
    } else if (sub.snapshot.index_version.value() < m_oldest ||
               !m_versions.contains(sub.snapshot)) {
      FailLater(sub, SubOutcome::kSnapshotNotServed);
    } else if (sub.payload == "poison") {
      After(milliseconds(2), [this, sub] {
        Run(sub);
        Crash(sub.server);
      });
    } else if (m_random() % 1000 < m_faults) {
      InjectFault(sub, static_cast<Fault>(m_random() % kFaultCount));
    } else {
      After(Latency(20), [this, sub] { Answer(sub); });
    }
  }

  void InjectFault(const SubRequest& sub, Fault fault) {
    switch (fault) {
      case kSlow:
        After(Latency(1500), [this, sub] { Answer(sub); });
        return;
      case kOverloaded:
        FailLater(sub, SubOutcome::kOverloaded);
        return;
      case kDraining:
        FailLater(sub, SubOutcome::kDraining);
        return;
      case kNoConnection:
        FailLater(sub, SubOutcome::kNoConnection);
        return;
      case kGroupNotHeld:
        FailLater(sub, SubOutcome::kGroupNotHeld);
        return;
      case kNoReply:
        return;
      case kReplyLost:
        Run(sub);
        return;
      case kConnectionLostAfterRun:
        Run(sub);
        FailLater(sub, SubOutcome::kConnectionLost);
        return;
      case kConnectionLostBeforeRun:
        FailLater(sub, SubOutcome::kConnectionLost);
        return;
      case kServerError:
        Run(sub);
        FailLater(sub, SubOutcome::kServerError);
        return;
      default:
        After(Latency(20),
              [this, sub, fault] { DeliverFaultyReply(sub, fault); });
    }
  }

  void DeliverFaultyReply(const SubRequest& sub, Fault fault) {
    SubReply reply = Execute(sub);
    if (fault == kTruncated && sub.kind != RequestKind::kSearch) {
      // The transport detects a row count other than the stated one.
      reply.outcome = SubOutcome::kInvalidReply;
    } else if (fault == kTruncated) {
      --reply.records_searched;
      reply.rows.clear();
    } else if (fault == kOtherSnapshot) {
      // A server with a newer version: rows of other data, same record count.
      SubRequest moved = sub;
      moved.snapshot.index_version =
          IndexVersion(sub.snapshot.index_version.value() + 1);
      reply.snapshot = moved.snapshot;
      reply.rows = {MakeRow(moved)};
    } else if (fault == kSwapped) {
      for (const SubRequest& other : m_transport->Outstanding()) {
        if (other.id != sub.id && other.group == sub.group) {
          reply = MakeReply(other);
        }
      }
    }
    m_transport->Deliver(sub.id, reply);
    if (fault == kDuplicated) {
      m_transport->Deliver(sub.id, reply);
      After(Latency(50),
            [this, sub, reply] { m_transport->Deliver(sub.id, reply); });
    }
  }

  void Answer(const SubRequest& sub) {
    m_transport->Deliver(sub.id, Execute(sub));
  }

  SubReply Execute(const SubRequest& sub) {
    Run(sub);
    return MakeReply(sub);
  }

  SubReply MakeReply(const SubRequest& sub) const {
    SubReply reply;
    reply.id = sub.id;
    reply.outcome = SubOutcome::kOk;
    reply.snapshot = sub.snapshot;
    for (const ShardGroup& group : m_versions.at(sub.snapshot)->groups) {
      if (group.id == sub.group) {
        reply.records_searched = group.records;
      }
    }
    reply.rows = {MakeRow(sub)};
    return reply;
  }

  // Counts each sub-request once, however often its reply is created.
  void Run(const SubRequest& sub) {
    if (!m_run_ids.insert(sub.id).second) {
      return;
    }
    if (sub.kind == RequestKind::kOperation) {
      ++m_operation_runs[sub.idempotency_key];
    } else {
      m_ran.insert(sub.record_key);
    }
  }

  void FailLater(const SubRequest& sub, SubOutcome outcome) {
    After(Latency(5),
          [this, sub, outcome] { m_transport->Fail(sub.id, outcome); });
  }

  Duration Latency(int64_t max_ms) {
    return milliseconds(1 + static_cast<int64_t>(m_random() % max_ms));
  }

  void After(Duration delay, std::function<void()> callback) {
    m_timers->SubscribeOnce(delay, std::move(callback));
  }

  ManualTimerService* const m_timers;
  FakeBackendTransport* const m_transport;
  const RandomSource m_random;
  uint32_t m_faults = 200;
  uint64_t m_oldest = 0;
  std::map<SnapshotId, SnapshotPtr> m_versions;
  std::map<ServerId, TimePoint> m_down_until;
  std::set<std::string> m_ran;
  std::set<SubRequestId> m_run_ids;
  std::map<IdempotencyKey, int> m_operation_runs;
};

}  // namespace wasabihook::testing

#endif  // TESTS_FAULT_INJECTING_BACKENDS_H_
