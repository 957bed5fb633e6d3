#include "standin.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <exception>
#include <filesystem>
#include <fstream>
#include <regex>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace standin {
namespace {

const auto kStart = std::chrono::steady_clock::now();
// A case ends by itself after this time.
constexpr int kLongestCaseSeconds = 115;
constexpr size_t kMaxProcesses = 64;
// Gateway processes that run; 0 where a place is free.
std::atomic<pid_t> g_processes[kMaxProcesses];

// Ends the processes of the case, also if it takes too long or is told to end.
void EndAll(int) {
  for (const auto& pid : g_processes) {
    if (pid > 0)
      kill(pid, SIGKILL);
  }
  _exit(2);
}

void Remember(pid_t pid) {
  for (auto& place : g_processes) {
    pid_t free = 0;
    if (place.compare_exchange_strong(free, pid))
      return;
  }
}

void Forget(pid_t pid) {
  for (auto& place : g_processes) {
    if (place == pid)
      place = 0;
  }
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

sockaddr_in ParseAddress(const std::string& address) {
  const size_t colon = address.rfind(':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port =
      htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  return out;
}

std::string BoundAddress(int fd) {
  sockaddr_in bound{};
  socklen_t size = sizeof(bound);
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &size);
  return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
}

int BindAny() {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in any = ParseAddress("127.0.0.1:0");
  if (bind(fd, reinterpret_cast<sockaddr*>(&any), sizeof(any)) != 0)
    throw std::runtime_error("cannot bind a loopback address");
  return fd;
}

// An address that is free now, for a process to bind.
std::string FreeAddress() {
  const int fd = BindAny();
  const std::string out = BoundAddress(fd);
  close(fd);
  return out;
}

constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& in) {
  std::string out;
  size_t i = 0;
  for (; i + 2 < in.size(); i += 3) {
    const uint32_t v =
        (uint8_t(in[i]) << 16) | (uint8_t(in[i + 1]) << 8) | uint8_t(in[i + 2]);
    out += kBase64[v >> 18];
    out += kBase64[(v >> 12) & 63];
    out += kBase64[(v >> 6) & 63];
    out += kBase64[v & 63];
  }
  if (i + 1 == in.size()) {
    const uint32_t v = uint8_t(in[i]) << 16;
    out += kBase64[v >> 18];
    out += kBase64[(v >> 12) & 63];
    out += "==";
  } else if (i + 2 == in.size()) {
    const uint32_t v = (uint8_t(in[i]) << 16) | (uint8_t(in[i + 1]) << 8);
    out += kBase64[v >> 18];
    out += kBase64[(v >> 12) & 63];
    out += kBase64[(v >> 6) & 63];
    out += '=';
  }
  return out;
}

std::string FromBase64(const std::string& in) {
  std::string out;
  uint32_t bits = 0;
  int count = 0;
  for (const char c : in) {
    const char* at = c == '\0' ? nullptr : std::strchr(kBase64, c);
    if (at == nullptr)
      continue;
    bits = (bits << 6) | static_cast<uint32_t>(at - kBase64);
    if ((count += 6) >= 8) {
      count -= 8;
      out += static_cast<char>((bits >> count) & 255);
    }
  }
  return out;
}

std::string Decode(const std::string& in) {
  std::string out;
  for (size_t i = 0; i < in.size(); ++i) {
    if (in[i] == '%' && i + 2 < in.size()) {
      out += static_cast<char>(std::stoi(in.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += in[i];
    }
  }
  return out;
}

std::map<std::string, std::string> Query(const std::string& target) {
  std::map<std::string, std::string> out;
  const size_t mark = target.find('?');
  if (mark == std::string::npos)
    return out;
  size_t at = mark + 1;
  while (at < target.size()) {
    size_t end = target.find('&', at);
    if (end == std::string::npos)
      end = target.size();
    const std::string part = target.substr(at, end - at);
    const size_t equals = part.find('=');
    if (equals != std::string::npos)
      out[part.substr(0, equals)] = Decode(part.substr(equals + 1));
    at = end + 1;
  }
  return out;
}

std::string JsonText(const std::string& in) {
  std::string out = "\"";
  for (const char c : in) {
    if (c == '"' || c == '\\')
      out += '\\';
    out += c;
  }
  return out + "\"";
}

std::string Reply(int status, const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " .\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string& path)
    : m_file(std::fopen(path.c_str(), "w")) {
  if (m_file == nullptr)
    throw std::runtime_error("cannot write " + path);
}

Record::~Record() {
  std::fclose(m_file);
}

void Record::Line(const char* format, ...) {
  const std::lock_guard lock(m_mutex);
  std::fprintf(m_file, "%8lld ", static_cast<long long>(NowMs()));
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(m_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', m_file);
  std::fflush(m_file);
}

std::string Message::Header(const std::string& name) const {
  for (const auto& [known, value] : headers) {
    if (Lower(known) == Lower(name))
      return value;
  }
  return "";
}

bool Message::Has(const std::string& name) const {
  return std::any_of(headers.begin(), headers.end(), [&](const auto& field) {
    return Lower(field.first) == Lower(name);
  });
}

std::string Message::Method() const {
  return start_line.substr(0, start_line.find(' '));
}

std::string Message::Target() const {
  const size_t first = start_line.find(' ');
  return start_line.substr(first + 1, start_line.rfind(' ') - first - 1);
}

int Message::Status() const {
  return start_line.size() < 12 ? 0 : std::atoi(start_line.c_str() + 9);
}

const char* ToString(ReadResult result) {
  switch (result) {
    case ReadResult::kOk:
      return "ok";
    case ReadResult::kClosed:
      return "closed";
    case ReadResult::kReset:
      return "reset";
    case ReadResult::kTimeout:
      return "timeout";
    case ReadResult::kInvalid:
      return "invalid";
  }
  return "?";
}

bool Connection::Write(const std::string& bytes) {
  size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool Connection::Readable(int64_t timeout_ms) {
  pollfd waiting{.fd = m_fd, .events = POLLIN, .revents = 0};
  return poll(&waiting, 1, static_cast<int>(std::max<int64_t>(timeout_ms, 0))) >
         0;
}

ReadResult Connection::Fill(int64_t until_ms) {
  if (!Readable(until_ms - NowMs()))
    return ReadResult::kTimeout;
  char buffer[65536];
  const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
  if (count == 0)
    return ReadResult::kClosed;
  if (count < 0)
    return ReadResult::kReset;
  m_input.append(buffer, static_cast<size_t>(count));
  return ReadResult::kOk;
}

ReadResult Connection::Read(Message& out,
                            int64_t timeout_ms,
                            bool response,
                            bool head_only) {
  const int64_t until = NowMs() + timeout_ms;
  out = Message();
  size_t end = 0;
  while ((end = m_input.find("\r\n\r\n")) == std::string::npos) {
    if (const ReadResult result = Fill(until); result != ReadResult::kOk)
      return result;
  }
  out.head = m_input.substr(0, end + 4);
  m_input.erase(0, end + 4);
  size_t at = 0;
  while (at < end) {
    size_t line_end = out.head.find("\r\n", at);
    const std::string line = out.head.substr(at, line_end - at);
    at = line_end + 2;
    if (out.start_line.empty()) {
      out.start_line = line;
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos)
      return ReadResult::kInvalid;
    const size_t value = line.find_first_not_of(" \t", colon + 1);
    out.headers.emplace_back(line.substr(0, colon), value == std::string::npos
                                                        ? ""
                                                        : line.substr(value));
  }
  const bool until_close = response && !out.Has("Content-Length") &&
                           !out.Has("Transfer-Encoding") &&
                           out.Status() != 204 && out.Status() != 304;
  if (head_only)
    return ReadResult::kOk;
  if (out.Has("Transfer-Encoding")) {
    while (true) {
      size_t line_end = 0;
      while ((line_end = m_input.find("\r\n")) == std::string::npos) {
        if (const ReadResult result = Fill(until); result != ReadResult::kOk)
          return result;
      }
      const size_t size = std::stoul(m_input.substr(0, line_end), nullptr, 16);
      while (m_input.size() < line_end + 2 + size + 2) {
        if (const ReadResult result = Fill(until); result != ReadResult::kOk)
          return result;
      }
      out.body += m_input.substr(line_end + 2, size);
      m_input.erase(0, line_end + 2 + size + 2);
      if (size == 0)
        return ReadResult::kOk;
    }
  }
  if (until_close) {
    ReadResult result = ReadResult::kOk;
    while ((result = Fill(until)) == ReadResult::kOk) {
    }
    out.body = std::exchange(m_input, "");
    return result == ReadResult::kClosed ? ReadResult::kOk : result;
  }
  const size_t length =
      out.Has("Content-Length") ? std::stoul(out.Header("Content-Length")) : 0;
  while (m_input.size() < length) {
    if (const ReadResult result = Fill(until); result != ReadResult::kOk)
      return result;
  }
  out.body = m_input.substr(0, length);
  m_input.erase(0, length);
  return ReadResult::kOk;
}

ReadResult Connection::ReadBytes(size_t count,
                                 int64_t timeout_ms,
                                 std::string& out) {
  const int64_t until = NowMs() + timeout_ms;
  while (m_input.size() < count) {
    if (const ReadResult result = Fill(until); result != ReadResult::kOk)
      return result;
  }
  out = m_input.substr(0, count);
  m_input.erase(0, count);
  return ReadResult::kOk;
}

void Connection::Close() {
  if (m_fd >= 0)
    close(m_fd);
  m_fd = -1;
}

void Connection::Reset() {
  if (m_fd < 0)
    return;
  const linger abort{.l_onoff = 1, .l_linger = 0};
  setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  Close();
}

std::unique_ptr<Connection> Connect(const std::string& address,
                                    int64_t timeout_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(fd, F_SETFL, O_NONBLOCK);
  const sockaddr_in target = ParseAddress(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) !=
      0) {
    pollfd waiting{.fd = fd, .events = POLLOUT, .revents = 0};
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS ||
        poll(&waiting, 1, static_cast<int>(timeout_ms)) <= 0 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return nullptr;
    }
  }
  fcntl(fd, F_SETFL, 0);
  return std::make_unique<Connection>(fd);
}

Listener::Listener(Handler handler, int max_segment, int receive_buffer)
    : m_handler(std::move(handler)), m_fd(BindAny()) {
  if (max_segment > 0)
    setsockopt(m_fd, IPPROTO_TCP, TCP_MAXSEG, &max_segment,
               sizeof(max_segment));
  if (receive_buffer > 0)
    setsockopt(m_fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof(receive_buffer));
  listen(m_fd, 512);
  m_address = BoundAddress(m_fd);
  m_thread = std::thread([this] { Run(); });
}

Listener::~Listener() {
  m_stopping = true;
  shutdown(m_fd, SHUT_RDWR);
  m_thread.join();
  close(m_fd);
  {
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_open)
      shutdown(fd, SHUT_RDWR);
  }
  while (m_running > 0)
    SleepMs(1);
}

void Listener::Run() {
  while (!m_stopping) {
    const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (m_stopping)
        return;
      SleepMs(1);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    {
      const std::lock_guard lock(m_mutex);
      m_open.insert(fd);
    }
    ++m_running;
    std::thread([this, fd] {
      {
        Connection connection(fd);
        m_handler(connection);
        const std::lock_guard lock(m_mutex);
        m_open.erase(fd);
        connection.Close();
      }
      --m_running;
    }).detach();
  }
}

Store::Store() {
  m_listener = std::make_unique<Listener>(
      [this](Connection& connection) { Serve(connection); });
}

Store::~Store() {
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_listener.reset();
}

void Store::PutLocked(const std::string& key,
                      const std::string& value,
                      uint64_t lease) {
  Item& item = m_items[key];
  item.value = value;
  item.revision = ++m_revision;
  item.lease = lease;
  if (item.created == 0)
    item.created = m_revision;
  m_events.push_back({.key = key, .item = item, .at_ms = NowMs()});
  // 20 seconds of history.
  const auto first = std::find_if(
      m_events.begin(), m_events.end(),
      [](const Event& event) { return event.at_ms > NowMs() - 20'000; });
  if (first != m_events.begin() && first - m_events.begin() > 50) {
    m_forgotten = (first - 1)->item.revision;
    m_events.erase(m_events.begin(), first);
  }
  m_changed.notify_all();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(m_mutex);
  PutLocked(key, value, 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(m_mutex);
  if (m_items.erase(key) == 0)
    return;
  Event event{.key = key, .item = {}, .removed = true, .at_ms = NowMs()};
  event.item.revision = ++m_revision;
  m_events.push_back(event);
  m_changed.notify_all();
}

void Store::Serve(Connection& connection) {
  Message request;
  while (connection.Read(request, 120'000) == ReadResult::kOk) {
    if (!connection.Write(Answer(request)))
      return;
  }
}

std::string Store::Answer(const Message& request) {
  const std::string target = request.Target();
  const std::string path = target.substr(0, target.find('?'));
  if (path == "/v1/kv-range")
    return Range(Query(target));
  if (path == "/v1/kv-watch")
    return Watch(Query(target));
  if (path == "/v1/kv-txn")
    return Transaction(request.body);
  const std::lock_guard lock(m_mutex);
  if (path == "/v1/kv-lease")
    return Reply(200, "{\"lease\":" + std::to_string(m_next_lease++) +
                          ",\"ttl_ms\":600000}");
  if (path.rfind("/v1/kv-keep/", 0) == 0)
    return Reply(200, "{\"ttl_ms\":600000}");
  return Reply(404, "{}");
}

std::string Store::Range(const std::map<std::string, std::string>& query) {
  const auto argument = [&query](const char* name) {
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
  };
  const std::string prefix = argument("path_prefix");
  const std::string after = argument("after");
  const std::lock_guard lock(m_mutex);
  std::string items;
  size_t count = 0;
  bool truncated = false;
  for (const auto& [key, item] : m_items) {
    if (key.rfind(prefix, 0) != 0 || (!after.empty() && key <= after))
      continue;
    if (count == 500 || items.size() > 1'000'000) {
      truncated = true;
      break;
    }
    ++count;
    items += (items.empty() ? "" : ",");
    items += "{\"key\":" + JsonText(key) + ",\"value\":\"" +
             ToBase64(item.value) +
             "\",\"revision\":" + std::to_string(item.revision) +
             ",\"created\":" + std::to_string(item.created) +
             ",\"lease\":" + std::to_string(item.lease) + "}";
  }
  return Reply(200, "{\"items\":[" + items +
                        "],\"truncated\":" + (truncated ? "true" : "false") +
                        ",\"current_rev\":" + std::to_string(m_revision) + "}");
}

std::string Store::Watch(const std::map<std::string, std::string>& query) {
  const uint64_t after = std::stoull(query.at("after"));
  const int64_t wait = std::stoll(query.at("wait_ms"));
  std::unique_lock lock(m_mutex);
  if (after < m_forgotten || after > m_revision)
    return Reply(410, "{}");
  m_changed.wait_for(lock, std::chrono::milliseconds(wait),
                     [&] { return m_stopping || m_revision > after; });
  if (after < m_forgotten)
    return Reply(410, "{}");
  std::string events;
  for (const Event& event : m_events) {
    if (event.item.revision <= after)
      continue;
    events += events.empty() ? "" : ",";
    events += "{\"key\":" + JsonText(event.key) +
              ",\"revision\":" + std::to_string(event.item.revision);
    events += event.removed
                  ? std::string(",\"removed\":true}")
                  : ",\"value\":\"" + ToBase64(event.item.value) +
                        "\",\"created\":" + std::to_string(event.item.created) +
                        ",\"lease\":" + std::to_string(event.item.lease) + "}";
  }
  return Reply(200, "{\"events\":[" + events + "],\"current_rev\":" +
                        std::to_string(m_revision) + "}");
}

// Writes of the gateway, which sends no conditions and removes nothing.
std::string Store::Transaction(const std::string& body) {
  static const std::regex kWrite(
      R"re("key":"([^"]*)","lease":(\d+),"value":"([^"]*)")re");
  const std::lock_guard lock(m_mutex);
  for (std::sregex_iterator it(body.begin(), body.end(), kWrite), end;
       it != end; ++it)
    PutLocked((*it)[1], FromBase64((*it)[3]), std::stoull((*it)[2]));
  return Reply(200, "{\"revision\":" + std::to_string(m_revision) + "}");
}

std::string ServerEntry(const std::string& service,
                        const std::string& address,
                        const std::string& zone,
                        int slots,
                        const std::string& state,
                        int64_t seq) {
  return "{\"backend\":\"" + service + "\",\"address\":\"" + address +
         "\",\"zone\":\"" + zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
         ",\"state\":\"" + state +
         "\",\"warmup_left_ms\":0,\"seq\":" + std::to_string(seq) +
         ",\"born\":1790000000000}";
}

Gateway::Gateway(const std::string& folder,
                 const std::string& id,
                 const std::string& zone,
                 const std::string& store_address)
    : m_config(folder + "/" + id + ".toml"),
      m_output(folder + "/" + id + ".log"),
      m_caller(FreeAddress()),
      m_readiness(FreeAddress()) {
  // As deploy/settings.template, with the bounds of the small sites.
  std::ofstream(m_config) << "[instance]\nid = \"" << id
                          << "\"\ndata_centre = \"" << zone
                          << "\"\n\n[listen]\ncaller = \"" << m_caller
                          << "\"\nreadiness = \"" << m_readiness
                          << "\"\nmetrics = \"" << FreeAddress()
                          << "\"\nfeed = \"" << FreeAddress()
                          << "\"\n\n[store]\naddress = \"" << store_address
                          << "\"\n\n[bounds]\nretry_ratio = 0.2\n"
                             "retry_slack = 56\nretry_window_s = 10\n"
                             "drain_ms = 3000\nconfig_apply_ms = 3000\n"
                             "grace_s = 6\n";
}

Gateway::~Gateway() {
  Stop();
}

void Gateway::Start() {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (const int fd : {STDOUT_FILENO, STDERR_FILENO})
    posix_spawn_file_actions_addopen(&actions, fd, m_output.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::string program = "target/wasabihook-gateway";
  std::string option = "--config";
  char* arguments[] = {program.data(), option.data(), m_config.data(), nullptr};
  m_status.reset();
  const int error = posix_spawn(&m_pid, program.c_str(), &actions, nullptr,
                                arguments, environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    m_pid = -1;
    throw std::runtime_error("cannot start " + program);
  }
  Remember(m_pid);
}

void Gateway::Signal(int signal) {
  if (m_pid > 0 && !Ended())
    kill(m_pid, signal);
}

std::optional<int> Gateway::Ended() {
  int status = 0;
  if (!m_status && m_pid > 0 && waitpid(m_pid, &status, WNOHANG) == m_pid) {
    Forget(m_pid);
    m_status = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  }
  return m_status;
}

bool Gateway::WaitReady(int64_t timeout_ms) {
  const int64_t until = NowMs() + timeout_ms;
  while (NowMs() < until) {
    if (const auto connection = Connect(m_readiness, 200)) {
      Message answer;
      if (connection->Write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
          connection->Read(answer, 500, true) == ReadResult::kOk &&
          answer.Status() == 200)
        return true;
    }
    SleepMs(30);
  }
  return false;
}

void Gateway::Stop() {
  if (m_pid <= 0 || Ended())
    return;
  kill(m_pid, SIGCONT);
  kill(m_pid, SIGTERM);
  const int64_t until = NowMs() + 500;
  while (NowMs() < until && !Ended())
    SleepMs(10);
  if (Ended())
    return;
  kill(m_pid, SIGKILL);
  int status = 0;
  waitpid(m_pid, &status, 0);
  Forget(m_pid);
  m_status = -SIGKILL;
}

int64_t Gateway::ResidentKib() const {
  std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.rfind("VmRSS:", 0) == 0)
      return std::atoll(line.c_str() + 6);
  }
  return 0;
}

int RunCase(int argc,
            char** argv,
            const std::function<int(const std::string&, Record&)>& test) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s FOLDER_OF_THE_CASE\n", argv[0]);
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  for (const int number : {SIGALRM, SIGTERM, SIGINT, SIGHUP, SIGSEGV, SIGABRT})
    signal(number, EndAll);
  std::set_terminate([] { EndAll(0); });
  alarm(kLongestCaseSeconds);
  std::string folder =
      (std::filesystem::temp_directory_path() / "wasabihook-review-XXXXXX")
          .string();
  if (mkdtemp(folder.data()) == nullptr)
    return 2;
  int status = 2;
  try {
    Record record(std::string(argv[1]) + "/record.txt");
    record.Line("disturbance: %s", Trouble() ? "on" : "off");
    status = test(folder, record);
    record.Line("exit status: %d", status);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  if (std::getenv("KEEP_FOLDER") == nullptr)
    std::filesystem::remove_all(folder);
  else
    std::fprintf(stderr, "%s\n", folder.c_str());
  std::printf("%s\n", status == 0   ? "the rule held"
                      : status == 1 ? "the rule was broken"
                                    : "the case could not run");
  std::fflush(stdout);
  // Threads of stand-ins may still wait for their peers.
  std::_Exit(status);
}

}  // namespace standin
