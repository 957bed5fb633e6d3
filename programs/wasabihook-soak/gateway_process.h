#ifndef PROGRAMS_WASABIHOOK_SOAK_GATEWAY_PROCESS_H_
#define PROGRAMS_WASABIHOOK_SOAK_GATEWAY_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

namespace wasabihook::soak {

// Gateway daemon in a child process, with its own configuration file.
class GatewayProcess {
 public:
  // The configuration file and the log are written to `folder`.
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
  // The process must be running().
  void Signal(int signal);
  // Exit code of a process that has ended since the last call, or the negated
  // signal number if a signal ended it. Empty if the process has not ended.
  std::optional<int> Reap();
  bool running() const { return m_pid > 0; }
  const std::string& caller_address() const { return m_caller_address; }
  const std::string& id() const { return m_id; }

 private:
  const std::string m_program;
  const std::string m_config_path;
  const std::string m_log_path;
  const std::string m_id;
  std::string m_caller_address;
  pid_t m_pid = -1;
};

}  // namespace wasabihook::soak

#endif  // PROGRAMS_WASABIHOOK_SOAK_GATEWAY_PROCESS_H_
