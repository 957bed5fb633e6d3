#ifndef WASABIHOOK_RANDOM_SOURCE_H_
#define WASABIHOOK_RANDOM_SOURCE_H_

#include <cstdint>
#include <functional>

namespace wasabihook {

// Uniform 64-bit random numbers; thread-safe. Tests pass a seeded source.
using RandomSource = std::function<uint64_t()>;

// Thread-safe source seeded with `seed`.
RandomSource MakeRandomSource(uint64_t seed);

}  // namespace wasabihook

#endif  // WASABIHOOK_RANDOM_SOURCE_H_
