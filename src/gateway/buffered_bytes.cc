#include "gateway/buffered_bytes.h"

#include <algorithm>

namespace wasabihook::gateway {

bool BufferedBytes::Reserve(BufferHolder* holder, size_t bytes) {
  while (m_used + bytes > m_bound) {
    const auto largest =
        std::max_element(m_holders.begin(), m_holders.end(),
                         [](const BufferHolder* a, const BufferHolder* b) {
                           return a->held_bytes() < b->held_bytes();
                         });
    ++m_evictions;
    if (largest == m_holders.end() ||
        (*largest)->held_bytes() < holder->held_bytes() + bytes)
      return false;
    (*largest)->Evict();
  }
  m_used += bytes;
  m_holders.insert(holder);
  return true;
}

void BufferedBytes::Release(BufferHolder* holder, size_t bytes) {
  m_used -= bytes;
  m_holders.erase(holder);
}

}  // namespace wasabihook::gateway
