#ifndef PROGRAMS_WASABIHOOKCTL_BLOCKING_STORE_CLIENT_H_
#define PROGRAMS_WASABIHOOKCTL_BLOCKING_STORE_CLIENT_H_

#include <optional>
#include <string>

#include "decision/settings/settings_writer.h"
#include "peers/platform/http_platform_client.h"
#include "runtime/thread_timer_service.h"
#include "wasabihook/platform.h"

namespace wasabihook::ctl {

// Blocking calls to the platform's key-value service.
class BlockingStoreClient {
 public:
  explicit BlockingStoreClient(const std::string& address);

  // Both throw std::runtime_error if the store does not answer.
  KeyValue Get(const std::string& subtree);  // Revision 0 if there is none.
  ListResult List(std::optional<Revision> newer_than, Duration wait);
  SettingsWriteResult Put(const SettingsWrite& write, Duration timeout);

  KeyValueStore& store() { return m_client; }

 private:
  ThreadTimerService m_timers;
  platform::HttpPlatformClient m_client;
};

// Whole contents of a file, or of standard input for "-". Throws
// std::invalid_argument.
std::string ReadFileOrStdin(const std::string& path);

}  // namespace wasabihook::ctl

#endif  // PROGRAMS_WASABIHOOKCTL_STORE_SESSION_H_
