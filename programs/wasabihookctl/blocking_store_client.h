#ifndef PROGRAMS_WASABIHOOKCTL_BLOCKING_STORE_CLIENT_H_
#define PROGRAMS_WASABIHOOKCTL_BLOCKING_STORE_CLIENT_H_

#include <optional>
#include <string>

#include "decision/settings/settings_writer.h"
#include "peers/platform/http_platform_client.h"
#include "runtime/thread_timer_service.h"
#include "wasabihook/platform.h"

namespace wasabihook::ctl {

// Blocking client of the platform's key-value service.
class BlockingStoreClient {
 public:
  explicit BlockingStoreClient(const std::string& address);

  // Both throw std::runtime_error if the store cannot be read.
  KeyValue Get(const std::string& subtree);  // Revision 0 if it does not exist.
  ListResult List(std::optional<Revision> newer_than, Duration wait);
  SettingsWriteResult Put(const SettingsWrite& write, Duration timeout);

  KeyValueStore& store() { return m_client; }

 private:
  ThreadTimerService m_timers;
  platform::HttpPlatformClient m_client;
};

// Reads a whole file, or standard input if `path` is "-". Throws
// std::invalid_argument if the file cannot be opened.
std::string ReadFileOrStdin(const std::string& path);

}  // namespace wasabihook::ctl

#endif  // PROGRAMS_WASABIHOOKCTL_BLOCKING_STORE_CLIENT_H_
