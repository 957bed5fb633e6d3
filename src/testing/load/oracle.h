#ifndef SRC_TESTING_LOAD_ORACLE_H_
#define SRC_TESTING_LOAD_ORACLE_H_

// PRIVATE HEADER. Test oracle: checks every answer of a run against the runs
// that the fake backend servers recorded and against the data they hold.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "testing/load/load_types.h"
#include "wasabihook/request.h"

namespace wasabihook::load {

// Ways in which an answer can be incorrect.
enum class Violation : uint8_t {
  kMalformed,          // Not an answer of the caller API.
  kRequestIdMismatch,  // Carries the id of another request.
  kUnknownSnapshot,    // Snapshot that was never published.
  kCoverageMismatch,   // Coverage counts contradict the snapshot or each other.
  kMissingRows,        // A covered group's rows are not all there.
  kUnexpectedRows,     // Rows of a missing group, another snapshot or query.
  kNoRecordedRun,      // A covered group has no completed run in that snapshot.
  kRanDespiteNotRun,   // Answered not_run, but a run is on record.
  kDuplicateRun,       // More than one run of an idempotency key.
};
inline constexpr size_t kViolationKinds = 9;
std::string ToString(Violation kind);

// One execution of a sub-request that a fake backend server started.
struct RunRecord {
  std::string index_set;
  std::string group;
  SnapshotId snapshot;
  RequestKind kind = RequestKind::kSearch;
  // Search text or operation, or the record key of a fetch.
  std::string payload;
  std::string idempotency_key;
};

// Records of each shard group in one published snapshot, in group order.
struct PublishedGroup {
  std::string id;
  uint64_t records = 0;
};
using PublishedSnapshot = std::vector<PublishedGroup>;

struct ReferenceData {
  // By index set and snapshot.
  std::map<std::string, std::map<SnapshotId, PublishedSnapshot>> published;
  std::vector<RunRecord> runs;
  // False if run records of searches and fetches lack payload and group, so
  // that only operations can be matched with their runs.
  bool reads_have_payload = true;
  // Rows, as JSON text, that a shard group must return for a request in a
  // snapshot with `groups` shard groups.
  std::function<std::vector<std::string>(const LoadRequest& request,
                                         const SnapshotId& snapshot,
                                         const PublishedGroup& group,
                                         size_t groups)>
      rows;
  // Index of the shard group, out of `groups`, that holds a record key.
  std::function<size_t(const std::string& record_key, size_t groups)> group_for;
};

struct Finding {
  Violation kind = Violation::kMalformed;
  std::string request_id;
  std::string detail;
};

class Oracle {
 public:
  explicit Oracle(ReferenceData reference);

  // Appends one finding for each violation in `response`.
  void Check(const LoadRequest& request,
             const Response& response,
             std::vector<Finding>* findings) const;
  // Checks that no idempotency key has more than one recorded run.
  void CheckRuns(std::vector<Finding>* findings) const;

 private:
  struct ParsedAnswer;

  void CheckAnswer(const LoadRequest& request,
                   const ParsedAnswer& answer,
                   std::vector<Finding>* findings) const;
  void CheckCoverage(const LoadRequest& request,
                     const ParsedAnswer& answer,
                     const PublishedSnapshot& asked,
                     std::vector<Finding>* findings) const;
  void CheckRows(const LoadRequest& request,
                 const ParsedAnswer& answer,
                 const PublishedSnapshot& asked,
                 size_t groups,
                 std::vector<Finding>* findings) const;
  bool HasRun(const LoadRequest& request) const;
  bool HasRunIn(const LoadRequest& request,
                const SnapshotId& snapshot,
                const std::string& group) const;

  const ReferenceData m_reference;
  // Runs by request; see RunKey() in the source.
  std::map<std::string, std::vector<size_t>> m_runs_by_request;
};

}  // namespace wasabihook::load

#endif  // SRC_TESTING_LOAD_ORACLE_H_
