#include "decision/burn/burn_aggregator.h"

#include <deque>
#include <mutex>
#include <stdexcept>
#include <utility>

#include "decision/burn/burn_codec.h"
#include "decision/routing/rendezvous.h"

namespace wasabihook {
namespace {

// Counts of the data centre as stored at `revision`, plus buckets folded in
// since.
struct Versioned {
  Revision revision;
  BurnLedger ledger;
};

// Encodes the counts. Drops detail, oldest first, while the text exceeds the
// size limit of the platform.
std::string EncodeWithinSizeLimit(BurnLedger& ledger) {
  std::string text = EncodeBurnLedger(ledger);
  for (const int32_t width : {60, 5, 1}) {
    if (text.size() <= config::kMaxBurnValueBytes) {
      break;
    }
    ledger.DropDetail(width);
    text = EncodeBurnLedger(ledger);
  }
  return text;
}

}  // namespace

std::optional<InstanceId> SelectBurnAggregator(
    const std::vector<PeerIdentity>& live) {
  std::vector<std::string> names;
  for (const PeerIdentity& peer : live) {
    names.push_back(peer.instance.value());
  }
  const std::vector<size_t> winner = RendezvousTopK(kBurnKeyPrefix, names, 1);
  if (winner.empty()) {
    return std::nullopt;
  }
  return live.at(winner.front()).instance;
}

// Outlives the BurnAggregator while calls are outstanding.
class BurnAggregator::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(BurnAggregatorDeps deps)
      : m_deps(std::move(deps)),
        m_key(kBurnKeyPrefix + m_deps.self.data_centre.value()),
        m_self{m_deps.self.instance, m_deps.self.incarnation} {}

  void RunRound();
  BurnCountsResponse Handle(const BurnCountsRequest& request);
  void HandOver(std::function<void(bool)> done);
  BurnAggregatorStats stats() const;
  void Start();
  // No call to a dependency is started after this.
  void Stop();

 private:
  struct Round {
    Versioned counts;
    std::deque<PeerIdentity> to_call;
    size_t in_flight = 0;
  };
  using RoundPtr = std::shared_ptr<Round>;

  int64_t CurrentMinute() const;
  bool Stopped() const;
  void Read(std::function<void(std::optional<Versioned>)> done);
  std::optional<Versioned> Decode(const GetResult& result);
  void Collect(Versioned counts);
  void CallPeers(const RoundPtr& round);
  void OnResponse(const RoundPtr& round,
                  const PeerIdentity& peer,
                  const std::optional<PeerResponse>& response);
  void Write(const RoundPtr& round);
  void OnWritten(const RoundPtr& round, const WriteResult& result);
  void FoldOwnBuckets(BurnLedger& ledger,
                      const std::vector<BurnBucket>& buckets);
  void TryHandOver(int attempt, std::function<void(bool)> done);
  void RetryHandOver(int attempt, std::function<void(bool)> done);

  const BurnAggregatorDeps m_deps;
  const std::string m_key;
  const BurnSource m_self;
  TimerHandle m_timer;

  mutable std::mutex m_mutex;
  bool m_stopped = false;
  bool m_leaving = false;
  bool m_round_running = false;
  // Stored counts as of the last successful write of this instance.
  std::optional<Versioned> m_stored;
  BurnAggregatorStats m_stats;
};

int64_t BurnAggregator::Impl::CurrentMinute() const {
  return std::chrono::floor<std::chrono::minutes>(
             m_deps.timers->WallNow().since_unix_epoch)
      .count();
}

bool BurnAggregator::Impl::Stopped() const {
  std::lock_guard lock(m_mutex);
  return m_stopped;
}

void BurnAggregator::Impl::Start() {
  m_timer = m_deps.timers->SubscribeEvery(
      config::kBurnCollectPeriod, [weak = weak_from_this()] {
        if (const std::shared_ptr<Impl> self = weak.lock()) {
          self->RunRound();
        }
      });
}

void BurnAggregator::Impl::Stop() {
  {
    std::lock_guard lock(m_mutex);
    m_stopped = true;
  }
  m_deps.timers->Unsubscribe(m_timer);
}

BurnAggregatorStats BurnAggregator::Impl::stats() const {
  std::lock_guard lock(m_mutex);
  return m_stats;
}

void BurnAggregator::Impl::RunRound() {
  std::vector<PeerIdentity> live = m_deps.live();
  const bool selected = SelectBurnAggregator(live) == m_deps.self.instance;
  std::optional<Versioned> stored;
  {
    std::lock_guard lock(m_mutex);
    if (m_stopped || m_leaving || m_round_running) {
      return;
    }
    if (!selected) {
      m_stored.reset();
      return;
    }
    m_round_running = true;
    stored = m_stored;
  }
  if (stored) {
    Collect(*std::move(stored));
    return;
  }
  Read([self = shared_from_this()](std::optional<Versioned> counts) {
    if (counts) {
      self->Collect(*std::move(counts));
      return;
    }
    std::lock_guard lock(self->m_mutex);
    self->m_round_running = false;
  });
}

void BurnAggregator::Impl::Read(
    std::function<void(std::optional<Versioned>)> done) {
  m_deps.store->Get(m_key, [self = shared_from_this(),
                            done = std::move(done)](const GetResult& result) {
    if (!self->Stopped()) {
      done(self->Decode(result));
    }
  });
}

std::optional<Versioned> BurnAggregator::Impl::Decode(const GetResult& result) {
  if (result.status == StoreStatus::kNotFound) {
    return Versioned{};
  }
  if (result.status != StoreStatus::kOk) {
    std::lock_guard lock(m_mutex);
    ++m_stats.failures;
    return std::nullopt;
  }
  try {
    return Versioned{result.entry.revision,
                     DecodeBurnLedger(result.entry.value)};
  } catch (const std::invalid_argument&) {
    std::lock_guard lock(m_mutex);
    ++m_stats.malformed;
    return std::nullopt;
  }
}

void BurnAggregator::Impl::Collect(Versioned counts) {
  auto round = std::make_shared<Round>();
  round->counts = std::move(counts);
  for (PeerIdentity& peer : m_deps.live()) {
    if (peer.instance != m_deps.self.instance) {
      round->to_call.push_back(std::move(peer));
    }
  }
  CallPeers(round);
}

void BurnAggregator::Impl::CallPeers(const RoundPtr& round) {
  std::vector<std::pair<PeerIdentity, BurnCountsRequest>> calls;
  bool complete = false;
  {
    std::lock_guard lock(m_mutex);
    if (m_stopped) {
      return;
    }
    while (!round->to_call.empty() &&
           round->in_flight < config::kBurnPeerCallsInFlight) {
      PeerIdentity peer = std::move(round->to_call.front());
      round->to_call.pop_front();
      ++round->in_flight;
      // Buckets of the peer are folded only after its response, so this is the
      // sequence up to which its buckets are stored.
      const uint64_t durable = round->counts.ledger.LastFoldedSequence(
          {peer.instance, peer.incarnation});
      BurnCountsRequest request{m_deps.self, peer.incarnation, durable};
      calls.emplace_back(std::move(peer), std::move(request));
    }
    complete = round->in_flight == 0;
  }
  for (auto& [peer, request] : calls) {
    m_deps.peers->Call(peer.address, std::move(request),
                       [self = shared_from_this(), round, peer = peer](
                           const std::optional<PeerResponse>& response) {
                         self->OnResponse(round, peer, response);
                       });
  }
  if (complete) {
    Write(round);
  }
}

void BurnAggregator::Impl::OnResponse(
    const RoundPtr& round,
    const PeerIdentity& peer,
    const std::optional<PeerResponse>& response) {
  const auto* counts =
      response ? std::get_if<BurnCountsResponse>(&*response) : nullptr;
  {
    std::lock_guard lock(m_mutex);
    --round->in_flight;
    // Another instance may now run at the same address.
    if (counts && counts->from.instance == peer.instance) {
      for (const BurnBucket& bucket : counts->buckets) {
        round->counts.ledger.Fold(
            {counts->from.instance, counts->from.incarnation}, bucket,
            CurrentMinute());
      }
    } else {
      ++m_stats.peers_missed;
    }
  }
  CallPeers(round);
}

void BurnAggregator::Impl::FoldOwnBuckets(
    BurnLedger& ledger,
    const std::vector<BurnBucket>& buckets) {
  for (const BurnBucket& bucket : buckets) {
    ledger.Fold(m_self, bucket, CurrentMinute());
  }
}

void BurnAggregator::Impl::Write(const RoundPtr& round) {
  BurnLedger& ledger = round->counts.ledger;
  FoldOwnBuckets(ledger,
                 m_deps.counters->Collect(ledger.LastFoldedSequence(m_self)));
  ledger.Compact(CurrentMinute());
  std::string text = EncodeWithinSizeLimit(ledger);
  {
    std::lock_guard lock(m_mutex);
    m_stats.stored_bytes = text.size();
  }
  m_deps.store->CompareAndSwap(
      m_key, round->counts.revision, std::move(text),
      [self = shared_from_this(), round](const WriteResult& result) {
        self->OnWritten(round, result);
      });
}

void BurnAggregator::Impl::OnWritten(const RoundPtr& round,
                                     const WriteResult& result) {
  std::lock_guard lock(m_mutex);
  m_round_running = false;
  // Unless the write certainly succeeded, the next round reads the stored value
  // again. The instances still hold every bucket that is not acknowledged.
  m_stored.reset();
  if (result.status == StoreStatus::kOk) {
    ++m_stats.rounds_written;
    round->counts.revision = result.revision;
    m_stored = std::move(round->counts);
  } else if (result.status == StoreStatus::kConflict) {
    ++m_stats.conflicts;
  } else {
    ++m_stats.failures;
  }
}

BurnCountsResponse BurnAggregator::Impl::Handle(
    const BurnCountsRequest& request) {
  const bool is_for_this_incarnation =
      request.receiver == m_deps.self.incarnation;
  return {m_deps.self, m_deps.counters->Collect(
                           is_for_this_incarnation ? request.acknowledged : 0)};
}

void BurnAggregator::Impl::HandOver(std::function<void(bool)> done) {
  {
    std::lock_guard lock(m_mutex);
    m_leaving = true;
  }
  TryHandOver(1, std::move(done));
}

void BurnAggregator::Impl::TryHandOver(int attempt,
                                       std::function<void(bool)> done) {
  Read([this, attempt,
        done = std::move(done)](std::optional<Versioned> counts) mutable {
    if (!counts) {
      RetryHandOver(attempt, std::move(done));
      return;
    }
    BurnLedger& ledger = counts->ledger;
    const std::vector<BurnBucket> buckets = m_deps.counters->CollectAll();
    if (buckets.empty() ||
        buckets.back().sequence <= ledger.LastFoldedSequence(m_self)) {
      done(true);
      return;
    }
    FoldOwnBuckets(ledger, buckets);
    ledger.Compact(CurrentMinute());
    m_deps.store->CompareAndSwap(
        m_key, counts->revision, EncodeWithinSizeLimit(ledger),
        [self = shared_from_this(), attempt,
         done = std::move(done)](const WriteResult& result) mutable {
          if (result.status == StoreStatus::kOk) {
            done(true);
          } else {
            self->RetryHandOver(attempt, std::move(done));
          }
        });
  });
}

void BurnAggregator::Impl::RetryHandOver(int attempt,
                                         std::function<void(bool)> done) {
  if (attempt >= config::kBurnHandOverAttempts) {
    done(false);
    return;
  }
  // Instances of a rack shut down together; random delays reduce conflicts
  // between their writes.
  const auto max_delay =
      static_cast<uint64_t>(config::kBurnHandOverBackoff.count() * attempt);
  const Duration delay(static_cast<int64_t>(m_deps.random() % (max_delay + 1)));
  m_deps.timers->SubscribeOnce(
      delay, [self = shared_from_this(), attempt, done = std::move(done)] {
        if (!self->Stopped()) {
          self->TryHandOver(attempt + 1, done);
        }
      });
}

BurnAggregator::BurnAggregator(BurnAggregatorDeps deps)
    : m_impl(std::make_shared<Impl>(std::move(deps))) {}

BurnAggregator::~BurnAggregator() {
  m_impl->Stop();
}

void BurnAggregator::Start() {
  m_impl->Start();
}

void BurnAggregator::RunRound() {
  m_impl->RunRound();
}

BurnCountsResponse BurnAggregator::Handle(const BurnCountsRequest& request) {
  return m_impl->Handle(request);
}

void BurnAggregator::HandOver(std::function<void(bool)> done) {
  m_impl->HandOver(std::move(done));
}

BurnAggregatorStats BurnAggregator::stats() const {
  return m_impl->stats();
}

}  // namespace wasabihook
