#include "wasabihook-soak/gateway_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace wasabihook::soak {
namespace {

// Address for a daemon to bind later. Each soak process uses its own loopback
// address, since another process could bind a free port of 127.0.0.1 first.
std::string NextAddress() {
  constexpr int kFirstPort = 20000;
  static int next_port = kFirstPort;
  const int pid = getpid();
  return "127.77." + std::to_string((pid >> 8) & 255) + "." +
         std::to_string(1 + pid % 254) + ":" + std::to_string(next_port++);
}

}  // namespace

GatewayProcess::GatewayProcess(std::string program,
                               std::string folder,
                               std::string id,
                               std::string data_centre,
                               std::string store_address)
    : m_program(std::move(program)),
      m_config_path(folder + "/" + id + ".toml"),
      m_log_path(folder + "/" + id + ".log"),
      m_id(std::move(id)),
      m_caller_address(NextAddress()) {
  std::ofstream file(m_config_path);
  file << "[instance]\nid = \"" << m_id << "\"\ndata_centre = \"" << data_centre
       << "\"\n"
       << "[listen]\ncaller = \"" << m_caller_address << "\"\nreadiness = \""
       << NextAddress() << "\"\nfeed = \"" << NextAddress() << "\"\n"
       << "[store]\naddress = \"" << store_address << "\"\n"
       << "[bounds]\ngrace_s = 3\n";
}

GatewayProcess::~GatewayProcess() {
  if (!running())
    return;
  kill(m_pid, SIGKILL);
  waitpid(m_pid, nullptr, 0);
}

void GatewayProcess::Start() {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_log_path.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::string program = m_program;
  std::string option = "--config";
  std::string path = m_config_path;
  std::array<char*, 4> arguments = {program.data(), option.data(), path.data(),
                                    nullptr};
  const int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr,
                                arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    m_pid = -1;
    throw std::runtime_error("cannot start " + m_program);
  }
}

void GatewayProcess::Signal(int signal) {
  kill(m_pid, signal);
}

std::optional<int> GatewayProcess::Reap() {
  int status = 0;
  if (!running() || waitpid(m_pid, &status, WNOHANG) != m_pid)
    return std::nullopt;
  m_pid = -1;
  return WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
}

}  // namespace wasabihook::soak
