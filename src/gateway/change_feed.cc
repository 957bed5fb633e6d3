#include "gateway/change_feed.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "gateway/gateway_settings.h"

namespace wasabihook::gateway {
namespace {

using nlohmann::json;

constexpr std::string_view kChangesTarget = "/changes?after=";
// Between era and revision.
constexpr char kPositionSeparator = '.';
constexpr std::string_view kDirectOnlySuffix = "&direct_only";
constexpr std::string_view kRevisionTarget = "/revision";
constexpr std::string_view kContentTarget = "/content";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kGone = 410;
// Interval between checks for held requests that are due.
constexpr Duration kWaiterCheckPeriod = std::chrono::milliseconds(100);

std::optional<StorePosition> ParsePosition(std::string_view text) {
  uint64_t era = 0;
  uint64_t revision = 0;
  const char* const end = text.data() + text.size();
  const auto first = std::from_chars(text.data(), end, era);
  if (first.ec != std::errc() || first.ptr == end ||
      *first.ptr != kPositionSeparator)
    return std::nullopt;
  if (std::from_chars(first.ptr + 1, end, revision).ec != std::errc())
    return std::nullopt;
  return StorePosition{.era = StoreEra(era), .revision = Revision(revision)};
}

json::binary_t ToBinary(const std::string& text) {
  return json::binary_t({text.begin(), text.end()});
}

}  // namespace

std::string EncodeFeedReply(const FeedReply& reply) {
  json changes = json::array();
  for (const StoreItem& item : reply.changes)
    changes.push_back({{"key", item.key},
                       {"value", ToBinary(item.value)},
                       {"revision", item.revision.value()},
                       {"removed", item.removed}});
  const json out = {{"in_contact", reply.store_reachable},
                    {"direct", reply.direct},
                    {"era", reply.position.era.value()},
                    {"revision", reply.position.revision.value()},
                    {"changes", std::move(changes)}};
  const std::vector<uint8_t> bytes = json::to_msgpack(out);
  return {bytes.begin(), bytes.end()};
}

FeedReply DecodeFeedReply(std::string_view body) {
  const json in = json::from_msgpack(body);
  FeedReply out;
  out.store_reachable = in.at("in_contact").get<bool>();
  out.direct = in.at("direct").get<bool>();
  out.position = {.era = StoreEra(in.at("era").get<uint64_t>()),
                  .revision = Revision(in.at("revision").get<uint64_t>())};
  for (const json& change : in.at("changes")) {
    StoreItem item;
    item.key = change.at("key").get<std::string>();
    const auto& value = change.at("value").get_binary();
    item.value.assign(value.begin(), value.end());
    item.revision = Revision(change.at("revision").get<uint64_t>());
    item.removed = change.at("removed").get<bool>();
    item.era = out.position.era;
    out.changes.push_back(std::move(item));
  }
  return out;
}

StoreCall MakeChangesCall(StorePosition position, bool direct_only) {
  std::string target(kChangesTarget);
  target += std::to_string(position.era.value()) + kPositionSeparator +
            std::to_string(position.revision.value());
  if (direct_only)
    target += kDirectOnlySuffix;
  return {.method = "GET", .target = std::move(target), .body = ""};
}

StoreCall MakeRevisionCall() {
  return {.method = "GET", .target = std::string(kRevisionTarget), .body = ""};
}

StoreCall MakeContentCall() {
  return {.method = "GET", .target = std::string(kContentTarget), .body = ""};
}

ChangeFeed::ChangeFeed(EventLoop* loop, const std::string& address)
    : m_loop(loop),
      m_listener(loop,
                 address,
                 [this](const InboundRequest& request, Responder& responder) {
                   OnRequest(request, responder);
                 }),
      m_waiter_timer(loop->SubscribeEvery(kWaiterCheckPeriod,
                                          [this] { RespondToExpired(); })) {}

ChangeFeed::~ChangeFeed() {
  m_loop->Unsubscribe(m_waiter_timer);
}

void ChangeFeed::Reset(const std::vector<StoreItem>& items,
                       StorePosition position) {
  m_history.Reset(items, position);
  m_cached_after.reset();
  m_position = position;
  RespondToAll();
}

void ChangeFeed::Add(const StoreItem& item) {
  m_history.Add(item);
}

void ChangeFeed::Publish(StorePosition position) {
  if (position <= m_position)
    return;
  m_position = position;
  m_cached_after.reset();
  RespondToAll();
}

void ChangeFeed::SetStoreReachable(bool store_reachable) {
  if (store_reachable == m_store_reachable)
    return;
  m_store_reachable = store_reachable;
  m_cached_after.reset();
  RespondToAll();
}

void ChangeFeed::SetDirect(bool direct) {
  m_cached_after.reset();
  m_direct = direct;
}

void ChangeFeed::OnRequest(const InboundRequest& request,
                           Responder& responder) {
  const std::string& target = request.target;
  if (target == kRevisionTarget) {
    responder.Respond({.status = kOk, .body = EncodeFeedReply(CurrentState())});
    return;
  }
  if (target == kContentTarget) {
    RespondWithContent(responder);
    return;
  }
  if (m_call_handler && m_call_handler(request, responder))
    return;
  const std::optional<StorePosition> after =
      target.starts_with(kChangesTarget)
          ? ParsePosition(
                std::string_view(target).substr(kChangesTarget.size()))
          : std::nullopt;
  if (!after) {
    responder.Respond({.status = kBadRequest});
    return;
  }
  const bool refused = target.ends_with(kDirectOnlySuffix) && !m_direct;
  if (!m_store_reachable || refused || *after < m_position ||
      after->era != m_position.era) {
    RespondWithChanges(responder, *after);
    return;
  }
  m_waiters[&responder] = {.after = *after, .since = m_loop->Now()};
  responder.SetDisconnectHook(
      [this, &responder] { m_waiters.erase(&responder); });
}

void ChangeFeed::RespondWithChanges(Responder& responder, StorePosition after) {
  if (after.era != m_position.era) {
    responder.Respond({.status = kOk, .body = EncodeFeedReply(CurrentState())});
    return;
  }
  if (!m_history.Reaches(after)) {
    responder.Respond({.status = kGone});
    return;
  }
  if (m_cached_after != after) {
    FeedReply reply = CurrentState();
    reply.position = std::max(m_position, after);
    m_history.VisitChanges(after, [&reply](const StoreItem& item) {
      reply.changes.push_back(item);
    });
    m_cached_reply = EncodeFeedReply(reply);
    m_cached_after = after;
  }
  responder.Respond({.status = kOk, .body = m_cached_reply});
}

void ChangeFeed::RespondWithContent(Responder& responder) {
  FeedReply reply = CurrentState();
  m_history.VisitContent(
      [&reply](const StoreItem& item) { reply.changes.push_back(item); });
  responder.Respond({.status = kOk, .body = EncodeFeedReply(reply)});
}

void ChangeFeed::RespondToAll() {
  const auto waiters = std::exchange(m_waiters, {});
  for (const auto& [responder, waiter] : waiters)
    RespondWithChanges(*responder, waiter.after);
}

void ChangeFeed::RespondToExpired() {
  const TimePoint now = m_loop->Now();
  std::vector<std::pair<Responder*, StorePosition>> due;
  for (const auto& [responder, waiter] : m_waiters) {
    if (now - waiter.since >= kFeedWait)
      due.emplace_back(responder, waiter.after);
  }
  for (const auto& [responder, after] : due) {
    m_waiters.erase(responder);
    RespondWithChanges(*responder, after);
  }
}

}  // namespace wasabihook::gateway
