// Pattern: a request that crashes each server that runs it. Models of a fleet
// that shares what it sees; no network.

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway/fleet_message.h"
#include "gateway/request_quarantine.h"

namespace wasabihook::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const Fingerprint kCrashing(4711);
const Fingerprint kPopular(12);

TimePoint At(Duration since_start) {
  return TimePoint{seconds(1000)} + since_start;
}

ServerKey Server(uint32_t number) {
  return MakeServerKey(ServerId("i-" + std::to_string(number)), 1);
}

ServiceKey ServiceOf(uint32_t number) {
  return MakeServiceKey("service-" + std::to_string(number));
}

class OneInstanceTest : public ::testing::Test {
 protected:
  // A request of `caller_attempt` is lost on a server that ends.
  void Crash(Fingerprint fingerprint,
             uint32_t server,
             uint32_t caller_attempt,
             Duration at,
             uint32_t service = 0) {
    m_quarantine.OnLoss({.fingerprint = fingerprint,
                         .service = ServiceOf(service),
                         .server = Server(server),
                         .caller_attempt = CallerAttemptKey(caller_attempt),
                         .at = At(at)},
                        At(at - milliseconds(40)));
    m_quarantine.OnServerEnded(Server(server), At(at + milliseconds(20)));
  }
  void Answer(Fingerprint fingerprint, Duration at, uint32_t service = 0) {
    m_quarantine.OnSurvival(
        {.fingerprint = fingerprint,
         .service = ServiceOf(service),
         .caller_attempt = CallerAttemptKey(1'000'000 + ++m_answers),
         .at = At(at)});
  }
  void Answers(size_t count,
               Fingerprint fingerprint,
               Duration at,
               uint32_t service = 0) {
    for (size_t i = 0; i < count; ++i)
      Answer(fingerprint, at + milliseconds(i), service);
  }
  QuarantineStatus Status(Fingerprint fingerprint, Duration at) {
    return m_quarantine.Check(fingerprint, At(at));
  }

  uint32_t m_answers = 0;
  std::vector<QuarantineVerdict> m_verdicts;
  RequestQuarantine m_quarantine{[this](const QuarantineVerdict& verdict) {
    m_verdicts.push_back(verdict);
  }};
};

// Guards against a request that goes on crashing servers, one at a time.
TEST_F(OneInstanceTest, ThirdCrashQuarantines) {
  EXPECT_EQ(Status(kCrashing, seconds(0)), QuarantineStatus::kNone);
  Crash(kCrashing, 1, 1, seconds(0));
  EXPECT_EQ(Status(kCrashing, seconds(0)), QuarantineStatus::kSuspect);
  Crash(kCrashing, 2, 2, milliseconds(400));
  Crash(kCrashing, 3, 3, milliseconds(500));
  EXPECT_EQ(Status(kCrashing, seconds(1)), QuarantineStatus::kQuarantined);
  ASSERT_EQ(m_verdicts.size(), 1U);
  EXPECT_EQ(m_verdicts[0].servers, 3U);
  EXPECT_EQ(Status(kCrashing, seconds(1) + config::kQuarantineExpiry),
            QuarantineStatus::kSuspect);
}

// Guards against a route that moves to another service and takes the crashing
// request along, as in inc1.
TEST_F(OneInstanceTest, CrashesOfTwoServicesAddUp) {
  Crash(kCrashing, 1, 1, seconds(0), 0);
  Crash(kCrashing, 2, 2, seconds(1), 0);
  Crash(kCrashing, 3, 3, seconds(2), 1);
  EXPECT_EQ(Status(kCrashing, seconds(3)), QuarantineStatus::kQuarantined);
}

// Guards against a query that crashes the servers of one shard and is cleared
// by the answers of all the others.
TEST_F(OneInstanceTest, AnswersOfOtherServicesDoNotClear) {
  for (uint32_t i = 1; i <= 3; ++i) {
    Crash(kCrashing, i, i, seconds(i), 7);
    for (uint32_t service = 0; service < 20; ++service) {
      if (service != 7)
        Answer(kCrashing, seconds(i) + milliseconds(30), service);
    }
  }
  EXPECT_EQ(Status(kCrashing, seconds(4)), QuarantineStatus::kQuarantined);
}

// Guards against a query that crashes a server of each of its shards: the
// crashes of its first attempt displaced those of the others from the record,
// as in the second play of inc1.
TEST_F(OneInstanceTest, QueryThatCrashesAllShardsIsQuarantined) {
  constexpr uint32_t kShards = 20;
  for (uint32_t attempt = 1; attempt <= 3; ++attempt) {
    for (uint32_t shard = 0; shard < kShards; ++shard)
      Crash(kCrashing, attempt * 100 + shard, attempt, seconds(attempt), shard);
  }
  EXPECT_EQ(Status(kCrashing, seconds(4)), QuarantineStatus::kQuarantined);
}

// Guards against crashes that fill the record within the span that one cause
// explains, so that later ones do not count.
TEST_F(OneInstanceTest, CrashesAfterAFullRecordCount) {
  for (uint32_t attempt = 1; attempt <= 50; ++attempt)
    Crash(kCrashing, attempt, attempt, milliseconds(attempt));
  EXPECT_EQ(Status(kCrashing, seconds(1)), QuarantineStatus::kSuspect);
  Crash(kCrashing, 51, 51, seconds(4));
  EXPECT_EQ(Status(kCrashing, seconds(4)), QuarantineStatus::kQuarantined);
}

// Guards against the quarantine of a popular request after a rack is lost: it
// was in flight at many servers that ended at the same moment.
TEST_F(OneInstanceTest, PopularRequestSurvivesTheLossOfARack) {
  for (uint32_t i = 0; i < 30; ++i)
    Crash(kPopular, i, i, milliseconds(5 * i), i % 3);
  EXPECT_NE(Status(kPopular, seconds(1)), QuarantineStatus::kQuarantined);
  for (uint32_t service = 0; service < 3; ++service)
    Answers(kMaxSurvivalsKept, kPopular, seconds(1), service);
  EXPECT_EQ(Status(kPopular, seconds(1)), QuarantineStatus::kNone);
}

// Guards against the quarantine of a popular request during a release that
// stops servers hard, or racks that lose power in turn: it is in flight at each
// of them, and answered in between.
TEST_F(OneInstanceTest, PopularRequestSurvivesServersThatEndInTurn) {
  for (uint32_t i = 0; i < 30; ++i) {
    Crash(kPopular, i, i, seconds(i));
    EXPECT_NE(Status(kPopular, seconds(i)), QuarantineStatus::kQuarantined);
    Answers(kAnswersPerCrash, kPopular, seconds(i) + milliseconds(60));
  }
  EXPECT_TRUE(m_verdicts.empty());
}

// Guards against a request that crashes a part of its runs: one answer made
// the instance forget all crashes of the service.
TEST_F(OneInstanceTest, RequestThatCrashesAPartOfItsRunsIsQuarantined) {
  for (uint32_t i = 1; i <= 3; ++i) {
    Crash(kCrashing, i, i, seconds(i));
    Answers(kAnswersPerCrash - 1, kCrashing, seconds(i) + milliseconds(100));
  }
  EXPECT_EQ(Status(kCrashing, seconds(4)), QuarantineStatus::kQuarantined);
}

// Guards against answers to one attempt of a caller, as of a hedge, that count
// more than once.
TEST_F(OneInstanceTest, AnswersToOneAttemptCountOnce) {
  Crash(kCrashing, 1, 1, seconds(1));
  for (size_t i = 0; i < kAnswersPerCrash; ++i)
    m_quarantine.OnSurvival({.fingerprint = kCrashing,
                             .service = ServiceOf(0),
                             .caller_attempt = CallerAttemptKey(7),
                             .at = At(seconds(2))});
  EXPECT_EQ(Status(kCrashing, seconds(3)), QuarantineStatus::kSuspect);
}

// Guards against the quarantine of a query whose sub-requests, retries
// included, were all lost in one attempt of its caller.
TEST_F(OneInstanceTest, OneCallerAttemptIsNotEnough) {
  for (uint32_t i = 0; i < 8; ++i)
    Crash(kPopular, i, 1, milliseconds(200 * i), i / 2);
  EXPECT_EQ(Status(kPopular, seconds(3)), QuarantineStatus::kSuspect);
}

// Guards against evidence from servers that are alive: answers that are lost
// with their connections.
TEST_F(OneInstanceTest, LostConnectionsOfLiveServersAreNoCrashes) {
  for (uint32_t i = 0; i < 10; ++i) {
    m_quarantine.OnLoss({.fingerprint = kPopular,
                         .service = ServiceOf(0),
                         .server = Server(i % 3),
                         .caller_attempt = CallerAttemptKey(i),
                         .at = At(seconds(i))},
                        At(seconds(i) - milliseconds(40)));
    m_quarantine.OnServerAlive(Server(i % 3), At(seconds(i) + milliseconds(1)));
    m_quarantine.OnServerEnded(Server(i % 3), At(seconds(i) + milliseconds(2)));
  }
  EXPECT_EQ(Status(kPopular, seconds(10)), QuarantineStatus::kNone);
}

// Guards against an answer that arrives before the news of a crash from before
// it, and is forgotten.
TEST_F(OneInstanceTest, AnswerOutweighsOlderCrashesThatBecomeKnownLater) {
  Answers(kAnswersPerCrash, kPopular, seconds(5));
  CrashNews news;
  for (uint32_t i = 0; i < 4; ++i)
    news.crashes.push_back({.fingerprint = kPopular,
                            .service = ServiceOf(0),
                            .server = Server(i),
                            .caller_attempt = CallerAttemptKey(i),
                            .at = At(seconds(i))});
  m_quarantine.Merge(news, At(seconds(6)));
  EXPECT_EQ(Status(kPopular, seconds(6)), QuarantineStatus::kNone);
}

// Guards against memory that grows with the number of requests beside crashes,
// and against bystanders that displace the request that crashes servers.
TEST_F(OneInstanceTest, MemoryIsBoundedAndKeepsTheWorst) {
  Crash(kCrashing, 1, 1, seconds(0));
  Crash(kCrashing, 2, 2, seconds(1));
  for (uint32_t i = 0; i < 50'000; ++i) {
    Crash(Fingerprint(1'000'000 + i), 100 + i, i, seconds(2));
    m_quarantine.Add(Fingerprint(2'000'000 + i), At(minutes(10)));
  }
  EXPECT_LE(m_quarantine.suspects(), kMaxSuspectRequests);
  EXPECT_LE(m_quarantine.quarantined(), kMaxQuarantinedRequests);
  EXPECT_LE(m_quarantine.AllNews().crashes.size(),
            kMaxSuspectsInMessage * kMaxCrashesKept);
  Crash(kCrashing, 3, 3, seconds(3));
  EXPECT_EQ(Status(kCrashing, seconds(3)), QuarantineStatus::kQuarantined);
  m_quarantine.Sweep(At(minutes(20)));
  EXPECT_EQ(m_quarantine.suspects(), 0U);
  EXPECT_EQ(m_quarantine.quarantined(), 0U);
}

// Guards against crashes that other instances report and that grow the memory
// beyond its bound.
TEST_F(OneInstanceTest, MergedCrashesAreBounded) {
  for (uint32_t message = 0; message < 30; ++message) {
    CrashNews news;
    for (uint32_t i = 0; i < kMaxSuspectsInMessage; ++i) {
      const uint32_t number = message * kMaxSuspectsInMessage + i;
      news.crashes.push_back({.fingerprint = Fingerprint(number),
                              .service = ServiceOf(0),
                              .server = Server(number),
                              .caller_attempt = CallerAttemptKey(number),
                              .at = At(milliseconds(number))});
    }
    m_quarantine.Merge(news, At(seconds(4)));
  }
  EXPECT_LE(m_quarantine.suspects(), kMaxSuspectRequests);
}

TEST_F(OneInstanceTest, ReleaseForgetsEarlierCrashes) {
  for (uint32_t i = 1; i <= 3; ++i)
    Crash(kCrashing, i, i, seconds(i));
  const CrashNews news = m_quarantine.AllNews();
  m_quarantine.Release(kCrashing, At(seconds(5)));
  m_quarantine.Merge(news, At(seconds(6)));
  EXPECT_EQ(Status(kCrashing, seconds(6)), QuarantineStatus::kNone);
}

// Three data centres of instances in trees, a service whose servers start again
// some time after a crash, and a caller that repeats one request at random
// instances. Verdicts spread only between instances, as while the store is
// down.
struct FleetSize {
  uint32_t instances_per_data_centre = 0;
  uint32_t services = 1;
  // The request crashes one in so many of its runs; the others are answered.
  uint32_t crashes_one_in = 1;
};

class CrashingFleetTest : public ::testing::TestWithParam<FleetSize> {
 protected:
  static constexpr uint32_t kDataCentres = 3;
  static constexpr uint32_t kFollowersPerInstance = 8;
  static constexpr uint32_t kServersPerService = 3;
  static constexpr Duration kExchangePeriod = kObservationPeriod;
  static constexpr Duration kStep = milliseconds(50);
  static constexpr Duration kServerRestart = milliseconds(3400);
  static constexpr Duration kLearningTime = seconds(4);

  struct Repetition {
    TimePoint at;
    bool in_touch = false;
  };
  struct ServerSlot {
    uint32_t service = 0;
    uint32_t start = 0;
    std::optional<TimePoint> back_at{};
  };

  CrashingFleetTest()
      : m_per_data_centre(GetParam().instances_per_data_centre),
        m_services(GetParam().services) {
    for (uint32_t i = 0; i < kDataCentres * m_per_data_centre; ++i)
      m_fleet.push_back(NewInstance());
    for (uint32_t service = 0; service < m_services; ++service) {
      for (uint32_t i = 0; i < kServersPerService; ++i)
        m_servers.push_back({.service = service, .start = ++m_starts});
    }
  }

  static std::unique_ptr<RequestQuarantine> NewInstance() {
    return std::make_unique<RequestQuarantine>([](const QuarantineVerdict&) {});
  }
  size_t Index(uint32_t data_centre, uint32_t index) const {
    return size_t{data_centre} * m_per_data_centre + index;
  }
  bool IsCut(size_t instance) const {
    return m_cut_until.contains(instance) && m_now < m_cut_until.at(instance);
  }

  // `to` receives what became known at `from` in the last seconds.
  void Send(size_t from, size_t to) {
    if (IsCut(from) || IsCut(to))
      return;
    FleetMessage message;
    message.crash_news = m_fresh.contains(to)
                             ? m_fleet[from]->AllNews()
                             : m_fleet[from]->NewsSince(m_now - kFleetNewsTime);
    const std::string text = EncodeFleetMessage(message, m_now);
    m_fleet[to]->Merge(DecodeFleetMessage(text, m_now).crash_news, m_now);
    if (!m_fresh.contains(from))
      m_informed.insert(to);
  }

  void ExchangeAll() {
    for (uint32_t dc = 0; dc < kDataCentres; ++dc) {
      for (uint32_t i = m_per_data_centre; i-- > 1;) {
        const uint32_t parent = (i - 1) / kFollowersPerInstance;
        Send(Index(dc, i), Index(dc, parent));
        Send(Index(dc, parent), Index(dc, i));
      }
    }
    for (uint32_t from = 0; from < kDataCentres; ++from) {
      for (uint32_t to = 0; to < kDataCentres; ++to) {
        if (from != to)
          Send(Index(from, 0), Index(to, 0));
      }
    }
    // An instance asks for all until it gets an answer.
    std::erase_if(m_fresh, [this](size_t i) { return m_informed.contains(i); });
    m_informed.clear();
  }

  // One arrival of the crashing request, sent to a server of each service. A
  // lost attempt is retried once unless the request is suspect.
  void Arrive(size_t instance) {
    ++m_arrivals;
    bool reached = false;
    for (uint32_t service = 0; service < m_services; ++service) {
      for (int attempt = 0; attempt < 2; ++attempt) {
        const QuarantineStatus status =
            m_fleet[instance]->Check(kCrashing, m_now);
        if (status == QuarantineStatus::kQuarantined ||
            (attempt > 0 && status == QuarantineStatus::kSuspect))
          break;
        reached = SendTo(service, instance) || reached;
      }
    }
    if (reached)
      m_repetitions.push_back({.at = m_now, .in_touch = IsInTouch(instance)});
  }

  // Returns false if no server of the service is up.
  bool SendTo(uint32_t service, size_t instance) {
    std::vector<ServerSlot*> up;
    for (ServerSlot& server : m_servers) {
      if (server.service == service && !server.back_at)
        up.push_back(&server);
    }
    if (up.empty())
      return false;
    ServerSlot& server = *up[m_random() % up.size()];
    if (m_random() % GetParam().crashes_one_in != 0) {
      m_fleet[instance]->OnSurvival(
          {.fingerprint = kCrashing,
           .service = ServiceOf(service),
           .caller_attempt = CallerAttemptKey(m_arrivals),
           .at = m_now});
      return true;
    }
    m_crashes.push_back(m_now);
    m_fleet[instance]->OnLoss({.fingerprint = kCrashing,
                               .service = ServiceOf(service),
                               .server = Server(server.start),
                               .caller_attempt = CallerAttemptKey(m_arrivals),
                               .at = m_now},
                              m_now - milliseconds(40));
    m_to_confirm.push_back({instance, Server(server.start)});
    server.back_at = m_now + kServerRestart;
    return true;
  }

  void Step(Duration arrival_period) {
    m_now = m_now + kStep;
    for (const auto& [instance, server] : m_to_confirm)
      m_fleet[instance]->OnServerEnded(server, m_now);
    m_to_confirm.clear();
    for (ServerSlot& server : m_servers) {
      if (server.back_at && *server.back_at <= m_now)
        server = {.service = server.service,
                  .start = ++m_starts,
                  .back_at = std::nullopt};
    }
    if (m_now.since_epoch % arrival_period < kStep)
      Arrive(m_random() % m_fleet.size());
    if (m_now.since_epoch % kExchangePeriod < kStep)
      ExchangeAll();
  }

  // Neither started nor cut off within the learning time.
  bool IsInTouch(size_t instance) const {
    return (!m_started_at.contains(instance) ||
            m_now - m_started_at.at(instance) > kLearningTime) &&
           (!m_cut_until.contains(instance) ||
            m_now - m_cut_until.at(instance) > kLearningTime);
  }

  // Repetitions that reached servers later than the learning time after the
  // third crash, by instances that were in touch for as long.
  size_t LateRepetitions() const {
    if (m_crashes.size() < 3)
      return 0;
    const TimePoint learned_by = m_crashes[2] + kLearningTime;
    return static_cast<size_t>(std::count_if(
        m_repetitions.begin(), m_repetitions.end(),
        [learned_by](const Repetition& repetition) {
          return repetition.in_touch && repetition.at > learned_by;
        }));
  }

  const uint32_t m_per_data_centre;
  const uint32_t m_services;
  std::mt19937_64 m_random{20261204};
  std::vector<std::unique_ptr<RequestQuarantine>> m_fleet;
  std::vector<ServerSlot> m_servers;
  std::vector<std::pair<size_t, ServerKey>> m_to_confirm;
  std::vector<TimePoint> m_crashes;
  std::vector<Repetition> m_repetitions;
  std::map<size_t, TimePoint> m_cut_until;
  std::map<size_t, TimePoint> m_started_at;
  // Instances that have just started or were cut off.
  std::set<size_t> m_fresh;
  std::set<size_t> m_informed;
  uint32_t m_starts = 0;
  uint32_t m_arrivals = 0;
  TimePoint m_now = At(seconds(0));
};

// Guards against inc1: each instance sees few of the crashes, so none of them
// alone finds out in time.
TEST_P(CrashingFleetTest, LearnsWithinFourSecondsOfTheThirdCrash) {
  for (int i = 0; i < 2400; ++i)
    Step(milliseconds(250));
  EXPECT_GE(m_crashes.size(), 3U);
  EXPECT_LE(LateRepetitions(), 3U);
}

// Guards against a request that is repeated so rarely that its crashes are
// forgotten in between.
TEST_P(CrashingFleetTest, RemembersRareRepetitions) {
  for (int i = 0; i < 6000; ++i)
    Step(seconds(20));
  EXPECT_GE(m_crashes.size(), 3U);
  EXPECT_LE(LateRepetitions(), 3U);
}

// Guards against instances that restart, or come back from a cut, and have
// nobody to learn from.
TEST_P(CrashingFleetTest, HoldsWhileInstancesRestartAndAreCutOff) {
  for (int i = 0; i < 4800; ++i) {
    if (i % 20 == 10) {
      const size_t restarted = m_random() % m_fleet.size();
      m_fleet[restarted] = NewInstance();
      std::erase_if(m_to_confirm, [restarted](const auto& entry) {
        return entry.first == restarted;
      });
      m_fresh.insert(restarted);
      m_started_at[restarted] = m_now;
      // A process that starts asks the instance that it follows.
      ExchangeAll();
    }
    if (i % 60 == 0) {
      const size_t cut = m_random() % m_fleet.size();
      m_cut_until[cut] = m_now + seconds(2);
      m_fresh.insert(cut);
    }
    Step(milliseconds(250));
  }
  EXPECT_GE(m_crashes.size(), 3U);
  EXPECT_LE(LateRepetitions(), 3U);
}

INSTANTIATE_TEST_SUITE_P(
    Sizes,
    CrashingFleetTest,
    ::testing::Values(
        FleetSize{.instances_per_data_centre = 3},
        FleetSize{.instances_per_data_centre = 20},
        FleetSize{.instances_per_data_centre = 100},
        FleetSize{.instances_per_data_centre = 3, .crashes_one_in = 2},
        FleetSize{.instances_per_data_centre = 100, .crashes_one_in = 2},
        FleetSize{.instances_per_data_centre = 3, .services = 20},
        FleetSize{.instances_per_data_centre = 20,
                  .services = 20,
                  .crashes_one_in = 2},
        FleetSize{.instances_per_data_centre = 20, .services = 90}));

TEST(FleetMessage, RoundTripsAndRejectsMalformedText) {
  const TimePoint now = At(seconds(9));
  FleetMessage message;
  message.wants_all = true;
  message.observations = {{Server(1), {.total = 3, .bad = 2, .voters = 1}}};
  message.crash_news.crashes.push_back({.fingerprint = kCrashing,
                                        .service = ServiceOf(1),
                                        .server = Server(2),
                                        .caller_attempt = CallerAttemptKey(3),
                                        .at = now - milliseconds(1500)});
  message.crash_news.survivals.push_back({.fingerprint = kPopular,
                                          .service = ServiceOf(2),
                                          .caller_attempt = CallerAttemptKey(4),
                                          .at = now});
  message.limits = {
      {.server = Server(3), .per_second = 12.5, .at = now - seconds(2)},
      {.server = Server(4), .per_second = std::nullopt, .at = now}};
  message.demand = {.per_second = {{Server(3), 7.25}}, .instances = 5};
  const std::string text = EncodeFleetMessage(message, now);
  const FleetMessage decoded = DecodeFleetMessage(text, now + seconds(1));
  EXPECT_TRUE(decoded.wants_all);
  EXPECT_EQ(decoded.observations.at(Server(1)).bad, 2);
  ASSERT_EQ(decoded.crash_news.crashes.size(), 1U);
  EXPECT_EQ(decoded.crash_news.crashes[0].fingerprint, kCrashing);
  EXPECT_EQ(decoded.crash_news.crashes[0].server, Server(2));
  EXPECT_EQ(decoded.crash_news.crashes[0].at, now - milliseconds(500));
  ASSERT_EQ(decoded.crash_news.survivals.size(), 1U);
  EXPECT_EQ(decoded.crash_news.survivals[0].service, ServiceOf(2));
  ASSERT_EQ(decoded.limits.size(), 2U);
  EXPECT_EQ(decoded.limits[0].per_second, 12.5);
  EXPECT_EQ(decoded.limits[0].at, now - seconds(1));
  EXPECT_FALSE(decoded.limits[1].per_second.has_value());
  EXPECT_EQ(decoded.demand.per_second.at(Server(3)), 7.25);
  EXPECT_EQ(decoded.demand.instances, 5U);
  for (size_t length = 0; length < text.size(); ++length)
    EXPECT_ANY_THROW(DecodeFleetMessage(text.substr(0, length), now));
  EXPECT_ANY_THROW(DecodeFleetMessage("{\"crashes\":[[1]]}", now));
}

}  // namespace
}  // namespace wasabihook::gateway
