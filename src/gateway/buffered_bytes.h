#ifndef SRC_GATEWAY_BUFFERED_BYTES_H_
#define SRC_GATEWAY_BUFFERED_BYTES_H_

// PRIVATE HEADER. Pattern: peers that send without end, beside others that send
// whole messages.

#include <cstddef>
#include <unordered_set>

namespace wasabihook::gateway {

// A message that is being received.
class BufferHolder {
 public:
  virtual ~BufferHolder() = default;
  virtual size_t held_bytes() const = 0;
  // Gives up the message and its memory.
  virtual void Evict() = 0;
};

// Bytes that the messages of several connections hold together. If a message
// needs more than is left, the one that holds most is evicted, so that a sender
// without end loses its own message and not those of others.
class BufferedBytes {
 public:
  // `bound`: bytes that all holders may have together.
  explicit BufferedBytes(size_t bound) : m_bound(bound) {}
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;

  // Adds `bytes` to what `holder` has. Returns false if there is no room,
  // because no other holder has more.
  bool Reserve(BufferHolder* holder, size_t bytes);
  // `holder` gives back all that it has, which is `bytes`.
  void Release(BufferHolder* holder, size_t bytes);

  size_t used() const { return m_used; }
  size_t bound() const { return m_bound; }
  size_t evictions() const { return m_evictions; }

 private:
  const size_t m_bound;
  size_t m_used = 0;
  size_t m_evictions = 0;
  std::unordered_set<BufferHolder*> m_holders;
};

}  // namespace wasabihook::gateway

#endif  // SRC_GATEWAY_BUFFERED_BYTES_H_
