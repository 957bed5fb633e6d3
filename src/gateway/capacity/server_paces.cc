#include "gateway/capacity/server_paces.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <utility>
#include <vector>

namespace wasabihook::gateway {
namespace {

// Encoding of one server: key, replies, mean latency in steps.
constexpr size_t kRecordBytes = 8;
constexpr double kStepsPerUnit = 256;
constexpr uint32_t kMaxField = 0xffff;

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

double Mean(const PaceSample& sample) {
  return sample.sum / std::max<uint32_t>(sample.replies, 1);
}

}  // namespace

void MergePaces(PaceDigest& into, const PaceDigest& from) {
  for (const auto& [server, sample] : from) {
    PaceSample& sum = into[server];
    sum.replies += sample.replies;
    sum.sum += sample.sum;
  }
}

// Those that most replies were seen of, if there are too many.
std::string EncodePaces(const PaceDigest& digest) {
  std::vector<std::pair<ServerKey, PaceSample>> sorted(digest.begin(),
                                                       digest.end());
  if (sorted.size() > kMaxPacesInMessage) {
    std::nth_element(sorted.begin(), sorted.begin() + kMaxPacesInMessage,
                     sorted.end(), [](const auto& a, const auto& b) {
                       return a.second.replies > b.second.replies;
                     });
    sorted.resize(kMaxPacesInMessage);
  }
  std::string out;
  out.reserve(sorted.size() * kRecordBytes);
  for (const auto& [server, sample] : sorted) {
    AppendNumber(out, server.value(), 4);
    AppendNumber(out, std::min(sample.replies, kMaxField), 2);
    AppendNumber(out,
                 static_cast<uint32_t>(std::clamp<double>(
                     Mean(sample) * kStepsPerUnit, 0, kMaxField)),
                 2);
  }
  return out;
}

PaceDigest DecodePaces(std::string_view text) {
  if (text.size() % kRecordBytes != 0)
    throw std::runtime_error("truncated paces");
  PaceDigest out;
  for (size_t at = 0; at < text.size(); at += kRecordBytes) {
    const uint32_t replies = ReadNumber(text, at + 4, 2);
    out[ServerKey(ReadNumber(text, at, 4))] = {
        .replies = replies,
        .sum = ReadNumber(text, at + 6, 2) / kStepsPerUnit * replies};
  }
  return out;
}

void ServerPaces::Advance(TimePoint now) {
  const int64_t slice = now.since_epoch / (kPaceWindow / kSlices);
  if (slice <= m_slice)
    return;
  const int64_t steps = std::min(slice - m_slice, kSlices);
  for (auto& [server, slices] : m_local) {
    for (int64_t i = 0; i < steps; ++i)
      slices.at(static_cast<size_t>((slice - i) % kSlices)) = {};
  }
  m_slice = slice;
  std::erase_if(m_local, [](const auto& entry) {
    return std::all_of(
        entry.second.begin(), entry.second.end(),
        [](const PaceSample& sample) { return sample.replies == 0; });
  });
}

void ServerPaces::Add(ServerKey server,
                      double relative_latency,
                      TimePoint now) {
  Advance(now);
  PaceSample& sample =
      m_local[server].at(static_cast<size_t>(m_slice % kSlices));
  ++sample.replies;
  sample.sum += std::clamp(relative_latency, kMinPace, kMaxPace);
}

PaceDigest ServerPaces::Subtree(TimePoint now) {
  Advance(now);
  PaceDigest out;
  for (const auto& [server, slices] : m_local) {
    PaceSample& sum = out[server];
    for (const PaceSample& sample : slices) {
      sum.replies += sample.replies;
      sum.sum += sample.sum;
    }
  }
  m_tree.AddFollowers(out, now);
  return out;
}

PaceDigest ServerPaces::Total(bool root, TimePoint now) {
  if (!root)
    return m_tree.Result(now);
  PaceDigest out = Subtree(now);
  m_tree.AddDataCentres(out, now);
  return out;
}

void ServerPaces::SetFleet(const PaceDigest& total, TimePoint now) {
  for (const auto& [server, sample] : total) {
    if (sample.replies < kMinPaceReplies)
      continue;
    const auto [found, added] = m_estimates.try_emplace(server);
    Estimate& estimate = found->second;
    const double newest = Mean(sample);
    estimate.pace = added || newest > estimate.pace
                        ? newest
                        : std::max(newest, estimate.pace * kPaceRecovery);
    estimate.replies = sample.replies;
    estimate.at = now;
  }
  std::erase_if(m_estimates, [now](const auto& entry) {
    return now - entry.second.at > kPaceExpiry;
  });
}

double ServerPaces::PaceOf(ServerKey server, double own, TimePoint now) const {
  const auto found = m_estimates.find(server);
  if (found == m_estimates.end())
    return own;
  const Estimate& estimate = found->second;
  const double age = static_cast<double>((now - estimate.at).count()) /
                     static_cast<double>(Duration(kPaceExpiry).count());
  const double weight = static_cast<double>(estimate.replies) /
                        (estimate.replies + kOwnPaceReplies) *
                        std::clamp(1 - age, 0.0, 1.0);
  return weight * estimate.pace + (1 - weight) * own;
}

}  // namespace wasabihook::gateway
