#include "testing/load/settings_publisher.h"

#include <chrono>
#include <future>
#include <stdexcept>
#include <utility>

#include "decision/settings/settings_parser.h"

namespace wasabihook::load {
namespace {

// Starts an asynchronous store call and blocks until its result arrives.
template <typename Result, typename Start>
Result Await(Start start) {
  std::promise<Result> promise;
  start([&promise](Result result) { promise.set_value(std::move(result)); });
  return promise.get_future().get();
}

}  // namespace

SettingsPublisher::SettingsPublisher(KeyValueStore* store,
                                     const BackendsControl* backends,
                                     std::vector<std::string> teams,
                                     std::string settings)
    : m_store(store),
      m_backends(backends),
      m_teams(std::move(teams)),
      m_settings(std::move(settings)) {}

void SettingsPublisher::Publish() {
  for (const std::string& team : m_teams) {
    const std::string text = m_backends->SettingsText(team) + "\n" + m_settings;
    RecordSnapshots(team, text);
    WriteKey("settings/teams/" + team, text);
  }
}

void SettingsPublisher::WriteKey(const std::string& key,
                                 const std::string& text) {
  constexpr int kAttempts = 50;
  WriteResult written;
  for (int attempt = 0; attempt < kAttempts; ++attempt) {
    const auto found = Await<GetResult>(
        [&](auto done) { m_store->Get(key, std::move(done)); });
    const Revision expected =
        found.status == StoreStatus::kOk ? found.entry.revision : Revision(0);
    written = Await<WriteResult>([&](auto done) {
      m_store->CompareAndSwap(key, expected, text, std::move(done));
    });
    if (written.status == StoreStatus::kOk) {
      return;
    }
  }
  throw std::runtime_error("the platform rejected every write to " + key);
}

void SettingsPublisher::RecordSnapshots(const std::string& team,
                                        const std::string& text) {
  const TeamDocument document =
      ParseTeamSettings(TeamId(team), Revision(1), text);
  for (const auto& [index_set, snapshot] : document.settings.index_sets) {
    PublishedSnapshot groups;
    for (const ShardGroup& group : snapshot->groups) {
      groups.push_back({group.id.value(), group.records});
    }
    m_published[index_set.value()][snapshot->id] = std::move(groups);
  }
}

}  // namespace wasabihook::load
