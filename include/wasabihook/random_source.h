#ifndef WASABIHOOK_RANDOM_SOURCE_H_
#define WASABIHOOK_RANDOM_SOURCE_H_

#include <cstdint>
#include <functional>

namespace wasabihook {

// Returns uniformly distributed 64-bit random numbers. Thread-safe; tests pass
// a seeded source for reproducible results.
using RandomSource = std::function<uint64_t()>;

// Creates a thread-safe source seeded with `seed`.
RandomSource MakeRandomSource(uint64_t seed);

}  // namespace wasabihook

#endif  // WASABIHOOK_RANDOM_SOURCE_H_
