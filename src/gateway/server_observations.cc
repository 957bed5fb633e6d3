#include "gateway/server_observations.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

namespace wasabihook::gateway {
namespace {

// Encoding of one server: key, total, bad, voters.
constexpr size_t kRecordBytes = 9;

template <typename T>
T SaturatedSum(T a, T b) {
  constexpr uint32_t kMax = std::numeric_limits<T>::max();
  return static_cast<T>(std::min<uint32_t>(uint32_t{a} + b, kMax));
}

void AppendNumber(std::string& out, uint32_t value, size_t bytes) {
  for (size_t i = 0; i < bytes; ++i)
    out += static_cast<char>((value >> (8 * i)) & 0xff);
}

uint32_t ReadNumber(std::string_view text, size_t at, size_t bytes) {
  uint32_t out = 0;
  for (size_t i = 0; i < bytes; ++i)
    out |= uint32_t{static_cast<uint8_t>(text[at + i])} << (8 * i);
  return out;
}

}  // namespace

ServerKey MakeServerKey(const ServerId& id, int64_t started_at_ms) {
  return ServerKey(XXH32(id.value().data(), id.value().size(),
                         static_cast<uint32_t>(started_at_ms)));
}

void ServerObservation::Add(const ServerObservation& other) {
  total = SaturatedSum(total, other.total);
  bad = SaturatedSum(bad, other.bad);
  voters = SaturatedSum(voters, other.voters);
}

void MergeObservations(ObservationDigest& into, const ObservationDigest& from) {
  for (const auto& [server, observation] : from)
    into[server].Add(observation);
}

bool IsOutlier(const ServerObservation& observation) {
  return observation.voters >= kMinOutlierVoters &&
         observation.bad >= kMinOutlierObservations &&
         observation.bad >= kOutlierShare * observation.total;
}

ObservationDigest OutliersOf(const ObservationDigest& digest) {
  ObservationDigest out;
  for (const auto& [server, observation] : digest) {
    if (IsOutlier(observation))
      out.emplace(server, observation);
  }
  return out;
}

std::string EncodeObservations(const ObservationDigest& digest) {
  std::string out;
  out.reserve(digest.size() * kRecordBytes);
  for (const auto& [server, observation] : digest) {
    AppendNumber(out, server.value(), 4);
    AppendNumber(out, observation.total, 2);
    AppendNumber(out, observation.bad, 2);
    AppendNumber(out, observation.voters, 1);
  }
  return out;
}

ObservationDigest DecodeObservations(std::string_view text) {
  if (text.size() % kRecordBytes != 0)
    throw std::runtime_error("truncated observations");
  ObservationDigest out;
  for (size_t at = 0; at < text.size(); at += kRecordBytes) {
    out[ServerKey(ReadNumber(text, at, 4))].Add(
        {.total = static_cast<uint16_t>(ReadNumber(text, at + 4, 2)),
         .bad = static_cast<uint16_t>(ReadNumber(text, at + 6, 2)),
         .voters = static_cast<uint8_t>(ReadNumber(text, at + 8, 1))});
  }
  return out;
}

void LocalObservations::Advance(TimePoint now) {
  const int64_t slice = now.since_epoch / (kObservationWindow / kSlices);
  if (slice <= m_slice)
    return;
  const int64_t steps = std::min(slice - m_slice, kSlices);
  for (auto& [server, counts] : m_servers) {
    for (int64_t i = 0; i < steps; ++i) {
      const auto stale = static_cast<size_t>((slice - i) % kSlices);
      counts.total.at(stale) = 0;
      counts.bad.at(stale) = 0;
    }
  }
  m_slice = slice;
  std::erase_if(m_servers, [](const auto& entry) {
    return std::all_of(entry.second.total.begin(), entry.second.total.end(),
                       [](uint8_t count) { return count == 0; });
  });
}

void LocalObservations::Add(ServerKey server, bool bad, TimePoint now) {
  Advance(now);
  Counts& counts = m_servers[server];
  const auto slice = static_cast<size_t>(m_slice % kSlices);
  counts.total.at(slice) = SaturatedSum<uint8_t>(counts.total.at(slice), 1);
  if (bad)
    counts.bad.at(slice) = SaturatedSum<uint8_t>(counts.bad.at(slice), 1);
}

ObservationDigest LocalObservations::Digest(TimePoint now) {
  Advance(now);
  ObservationDigest out;
  for (const auto& [server, counts] : m_servers) {
    ServerObservation& observation = out[server];
    for (const uint8_t count : counts.total)
      observation.total = SaturatedSum<uint16_t>(observation.total, count);
    for (const uint8_t count : counts.bad)
      observation.bad = SaturatedSum<uint16_t>(observation.bad, count);
    // One instance has one vote and a bounded share of the counts, however
    // much it sent.
    observation.bad = std::min(observation.bad, kMaxObservationsPerInstance);
    observation.total =
        std::min(observation.total, kMaxObservationsPerInstance);
    observation.voters = observation.bad > 0 ? 1 : 0;
  }
  return out;
}

ObservationDigest FleetObservations::Subtree(TimePoint now) {
  ObservationDigest out = m_local.Digest(now);
  m_tree.AddFollowers(out, now);
  return out;
}

ObservationDigest FleetObservations::Outliers(bool root, TimePoint now) {
  if (!root)
    return m_tree.Result(now);
  ObservationDigest all = Subtree(now);
  m_tree.AddDataCentres(all, now);
  return OutliersOf(all);
}

}  // namespace wasabihook::gateway
