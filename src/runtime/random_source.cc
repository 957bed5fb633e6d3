#include "wasabihook/random_source.h"

#include <memory>
#include <mutex>
#include <random>

namespace wasabihook {

RandomSource MakeRandomSource(uint64_t seed) {
  struct State {
    explicit State(uint64_t seed) : engine(seed) {}
    std::mutex mutex;
    std::mt19937_64 engine;
  };
  auto state = std::make_shared<State>(seed);
  return [state] {
    std::lock_guard lock(state->mutex);
    return state->engine();
  };
}

}  // namespace wasabihook
