#ifndef PROGRAMS_WASABIHOOK_SOAK_GATEWAY_PROCESS_H_
#define PROGRAMS_WASABIHOOK_SOAK_GATEWAY_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

namespace wasabihook::soak {

// A gateway daemon as a separate process, with a start file of its own.
class GatewayProcess {
 public:
  // `folder`: where the start file and the log are written.
  GatewayProcess(std::string program,
                 std::string folder,
                 std::string id,
                 std::string data_centre,
                 std::string store_address);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Throws std::runtime_error if the process cannot be started.
  void Start();
  // Only while running().
  void Signal(int signal);
  // Exit status if the process has ended since the last call: its code, or the
  // negative number of the signal that ended it.
  std::optional<int> Reap();
  bool running() const { return m_pid > 0; }
  const std::string& caller_address() const { return m_caller_address; }
  const std::string& id() const { return m_id; }

 private:
  const std::string m_program;
  const std::string m_path;
  const std::string m_log_path;
  const std::string m_id;
  std::string m_caller_address;
  pid_t m_pid = -1;
};

}  // namespace wasabihook::soak

#endif  // PROGRAMS_WASABIHOOK_SOAK_GATEWAY_PROCESS_H_
