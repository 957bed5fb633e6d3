#include "peers/backend/transport_options.h"

namespace wasabihook {

void TransportCounters::AddTo(BackendTransportStats* stats) const {
  stats->open += open.Get();
  stats->opened += opened.Get();
  stats->reused += reused.Get();
  stats->connect_failed += connect_failed.Get();
  stats->refused_for_limit += refused_for_limit.Get();
  stats->closed_as_suspect += closed_as_suspect.Get();
  stats->closed_by_server += closed_by_server.Get();
  stats->resends_prevented += resends_prevented.Get();
  stats->moved += moved.Get();
  stats->probes += probes.Get();
  stats->timed_out += timed_out.Get();
  stats->cancelled += cancelled.Get();
  stats->cancels_sent += cancels_sent.Get();
  stats->cancels_dropped += cancels_dropped.Get();
  for (size_t i = 0; i < kInvalidReplyCauseCount; ++i) {
    stats->invalid[i] += invalid[i].Get();
  }
}

}  // namespace wasabihook
