#include "gateway/answers/answer_margin.h"

#include <algorithm>

namespace wasabihook::gateway {

// Steps up by more than down, so that the estimate settles where one of
// kLatenessStepRatio + 1 answers is later.
void AnswerMargin::OnSent(Duration lateness) {
  if (lateness > m_lateness)
    m_lateness +=
        std::min(lateness - m_lateness, kLatenessStep * kLatenessStepRatio);
  else
    m_lateness -= std::min(m_lateness - lateness, kLatenessStep);
  m_lateness = std::clamp(m_lateness, Duration(0), kMaxAnswerLateness);
}

Duration AnswerMargin::For(std::optional<Duration> round_trip,
                           Duration objective) const {
  if (!round_trip)
    return kAnswerMargin;
  const auto most = Duration(static_cast<int64_t>(
      static_cast<double>(objective.count()) * kMaxAnswerMarginShare));
  return std::max(
      kAnswerMargin,
      std::min(*round_trip + m_lateness + kAnswerTransferTime, most));
}

}  // namespace wasabihook::gateway
