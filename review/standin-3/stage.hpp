// Stand-ins for the third review: the platform's store, servers, the process
// under test and ordinary clients. Plain sockets and threads, no dependencies.
// All addresses are loopback addresses.

#ifndef REVIEW_STANDIN_3_STAGE_HPP_
#define REVIEW_STANDIN_3_STAGE_HPP_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace stage {

inline double Now() {
  return std::chrono::duration<double>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void SleepFor(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// Ends the script with the status for "the case couldn't run".
[[noreturn]] inline void CannotRun(const std::string& why) {
  std::fprintf(stderr, "cannot run: %s\n", why.c_str());
  std::exit(2);
}

// Lines of record.txt with the time since the start.
class Record {
 public:
  Record() : m_file(std::getenv("RECORD")), m_start(Now()) {
    if (!m_file)
      CannotRun("RECORD does not name a file that can be written");
  }
  void Write(const std::string& line) {
    const std::lock_guard lock(m_mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", Now() - m_start);
    m_file << time << line << std::endl;
  }
  double start() const { return m_start; }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
  const double m_start;
};

// False with TROUBLE=0.
inline bool HasTrouble() {
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

inline sockaddr_in Loopback(uint16_t port, const char* ip = "127.0.0.1") {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  inet_pton(AF_INET, ip, &out.sin_addr);
  return out;
}

inline int Listen(uint16_t* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(fd, 512) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    CannotRun("no free port");
  *port = ntohs(address.sin_port);
  return fd;
}

// A port that is free now, for the process under test.
inline uint16_t FreePort() {
  uint16_t port = 0;
  close(Listen(&port));
  return port;
}

inline bool SendAll(int fd, const std::string& data) {
  size_t sent = 0;
  while (sent < data.size()) {
    const ssize_t count =
        send(fd, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<size_t>(count);
  }
  return true;
}

// A request or a response. Names of fields are in lower case.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

// Reads messages with a Content-Length from a socket.
class Reader {
 public:
  explicit Reader(int fd) : m_fd(fd) {}

  // False at the end of the stream, or when `until` has passed.
  bool Read(Message* out, double until = 1e18) {
    *out = Message();
    size_t end = 0;
    while ((end = m_data.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until))
        return false;
    }
    std::istringstream head(m_data.substr(0, end));
    std::string line;
    std::getline(head, line);
    out->first_line = Strip(line);
    while (std::getline(head, line)) {
      const size_t colon = line.find(':');
      std::string name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(),
                     [](unsigned char c) { return std::tolower(c); });
      if (colon != std::string::npos)
        out->fields[name] = Strip(line.substr(colon + 1));
    }
    const size_t size =
        std::strtoul(out->Field("content-length").c_str(), nullptr, 10);
    while (m_data.size() < end + 4 + size) {
      if (!Fill(until))
        return false;
    }
    out->body = m_data.substr(end + 4, size);
    m_data.erase(0, end + 4 + size);
    return true;
  }

 private:
  static std::string Strip(const std::string& text) {
    const size_t first = text.find_first_not_of(" \t\r\n");
    if (first == std::string::npos)
      return "";
    return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
  }
  bool Fill(double until) {
    pollfd ready{m_fd, POLLIN, 0};
    const double left = std::min(until - Now(), 3600.0);
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left * 1000) + 1) <= 0)
      return false;
    char buffer[65536];
    const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
    if (count <= 0)
      return false;
    m_data.append(buffer, static_cast<size_t>(count));
    return true;
  }

  const int m_fd;
  std::string m_data;
};

inline std::string Respond(int status,
                           const std::string& lines,
                           const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + lines +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections and serves each in its own thread.
class Listener {
 public:
  using Handler = std::function<bool(int fd, const Message&)>;

  explicit Listener(Handler handler)
      : m_handler(std::move(handler)), m_fd(Listen(&m_port)) {
    std::thread([this] { Accept(); }).detach();
  }
  uint16_t port() const { return m_port; }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] {
        Reader reader(fd);
        Message request;
        while (reader.Read(&request) && m_handler(fd, request)) {
        }
        close(fd);
      }).detach();
    }
  }

  const Handler m_handler;
  uint16_t m_port = 0;
  const int m_fd;
};

inline std::string Base64(const std::string& in) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (size_t i = 0; i < in.size(); i += 3) {
    uint32_t bits = 0;
    for (size_t j = 0; j < 3; ++j)
      bits = bits << 8 |
             (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
    for (size_t j = 0; j < 4; ++j)
      out += i + j > in.size() ? '=' : kDigits[bits >> (18 - 6 * j) & 63];
  }
  return out;
}

// The platform's store: listings, watches, leases and unconditional writes.
class Store {
 public:
  Store()
      : m_listener([this](int fd, const Message& request) {
          return SendAll(fd, Answer(request));
        }) {}

  uint16_t port() const { return m_listener.port(); }
  void Put(const std::string& key, const std::string& value) {
    PutEncoded(key, Base64(value));
  }

 private:
  static std::string Parameter(const std::string& target,
                               const std::string& name) {
    const size_t at = target.find(name + "=");
    if (at == std::string::npos)
      return "";
    const size_t from = at + name.size() + 1;
    return target.substr(from, target.find('&', from) - from);
  }
  // Text of a JSON string field behind `from`.
  static std::string JsonText(const std::string& body,
                              const std::string& name,
                              size_t from) {
    const std::string start = "\"" + name + "\":\"";
    const size_t at = body.find(start, from);
    if (at == std::string::npos)
      return "";
    const size_t begin = at + start.size();
    return body.substr(begin, body.find('"', begin) - begin);
  }

  void PutEncoded(const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    const std::string revision = std::to_string(++m_revision);
    m_items[key] = "{\"key\":\"" + key + "\",\"value\":\"" + value +
                   "\",\"revision\":" + revision + ",\"created\":" + revision +
                   ",\"lease\":0}";
    m_history.emplace_back(m_revision, m_items[key]);
    m_changed.notify_all();
  }

  std::string Answer(const Message& request) {
    const std::string target =
        request.first_line.substr(request.first_line.find(' ') + 1);
    const std::string prefix = Parameter(target, "path_prefix");
    std::string body = "{}";
    if (target.rfind("/v1/kv-range", 0) == 0) {
      const std::lock_guard lock(m_mutex);
      std::string items;
      for (const auto& [key, item] : m_items) {
        if (key.rfind(prefix.substr(0, prefix.find(' ')), 0) == 0)
          items += (items.empty() ? "" : ",") + item;
      }
      body = "{\"items\":[" + items + "],\"truncated\":false,\"current_rev\":" +
             std::to_string(m_revision) + "}";
    } else if (target.rfind("/v1/kv-watch", 0) == 0) {
      body =
          Watch(std::strtoull(Parameter(target, "after").c_str(), nullptr, 10),
                std::atof(Parameter(target, "wait_ms").c_str()) / 1000);
    } else if (target.rfind("/v1/kv-lease", 0) == 0) {
      body = "{\"lease\":77,\"ttl_ms\":600000}";
    } else if (target.rfind("/v1/kv-keep", 0) == 0) {
      body = "{\"ttl_ms\":600000}";
    } else if (target.rfind("/v1/kv-txn", 0) == 0) {
      const size_t writes = request.body.find("\"writes\"");
      PutEncoded(JsonText(request.body, "key", writes),
                 JsonText(request.body, "value", writes));
      body = "{\"revision\":" + std::to_string(m_revision) + "}";
    }
    return Respond(200, "Content-Type: application/json\r\n", body);
  }

  std::string Watch(uint64_t after, double wait) {
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, std::chrono::duration<double>(wait),
                       [&] { return m_revision > after; });
    std::string events;
    for (const auto& [revision, item] : m_history) {
      if (revision > after)
        events += (events.empty() ? "" : ",") + item;
    }
    return "{\"events\":[" + events +
           "],\"current_rev\":" + std::to_string(m_revision) + "}";
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::string> m_items;
  std::vector<std::pair<uint64_t, std::string>> m_history;
  uint64_t m_revision = 10;
  Listener m_listener;
};

// A sound server: answers each request whole, with its proof and the id.
class Server {
 public:
  Server(std::string id, std::string service, double work_s)
      : m_id(std::move(id)),
        m_service(std::move(service)),
        m_work_s(work_s),
        m_listener([this](int fd, const Message& request) {
          SleepFor(m_work_s);
          const uint64_t run = ++m_runs;
          return SendAll(
              fd, Respond(200,
                          "X-Request-Id: " + request.Field("x-request-id") +
                              "\r\nX-Server-Stamp: " + m_id + "." +
                              std::to_string(run) + "\r\n",
                          "record"));
        }) {}

  void Register(Store& store) const {
    store.Put("servers/" + m_id,
              "{\"backend\":\"" + m_service + "\",\"address\":\"127.0.0.1:" +
                  std::to_string(m_listener.port()) +
                  "\",\"zone\":\"bay-a\",\"version\":\"v1\",\"slots\":2,"
                  "\"state\":\"ready\",\"warmup_left_ms\":0,\"seq\":1}");
  }
  uint64_t runs() const { return m_runs; }

 private:
  const std::string m_id;
  const std::string m_service;
  const double m_work_s;
  std::atomic<uint64_t> m_runs{0};
  Listener m_listener;
};

// Writes a configuration with one route, which goes to one service. Limits and
// times are those of the small site.
inline void PutConfiguration(Store& store, const std::string& service) {
  store.Put("op/config",
            "{\"version\":7,\"routes\":[{\"name\":\"fetch\",\"host\":"
            "\"pupu76.example\",\"path_prefix\":\"/timi402/\",\"type\":"
            "\"idempotent\",\"timeout_ms\":2500,\"slo_ms\":250,\"priority\":2,"
            "\"backend\":\"" +
                service + "\",\"max_attempts\":2}],\"backends\":[{\"name\":\"" +
                service +
                "\",\"health_path\":\"/health\",\"max_conns\":96,\"protocol\":"
                "\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
                "\"idle_timeout_ms\":15000}}");
}

// One process of the system, started with the command of the deploy file and
// settings as its template yields them for a machine of the small site.
class Gateway {
 public:
  static constexpr int kMemoryMb = 260;
  static constexpr int kDescriptors = 4100;

  Gateway(const Store& store, const std::string& folder)
      : m_caller(FreePort()), m_readiness(FreePort()) {
    const std::string settings = folder + "/node.toml";
    std::ofstream(settings)
        << "[instance]\nid = \"frontend-bay-a-1\"\ndata_centre = \"bay-a\"\n\n"
        << "[listen]\ncaller = \"127.0.0.1:" << m_caller
        << "\"\nreadiness = \"127.0.0.1:" << m_readiness
        << "\"\nmetrics = \"127.0.0.1:" << FreePort()
        << "\"\nfeed = \"127.0.0.1:" << FreePort()
        << "\"\n\n[store]\naddress = \"127.0.0.1:" << store.port()
        << "\"\n\n[limits]\nmemory_mb = " << kMemoryMb
        << "\nmax_fds = " << kDescriptors
        << "\n\n[bounds]\nretry_ratio = 0.2\nretry_slack = 52\n"
           "retry_window_s = 10\ndrain_ms = 3000\nconfig_apply_ms = 3000\n"
           "grace_s = 6\n";
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent)
        _exit(2);
      if (std::freopen((folder + "/gateway.log").c_str(), "a", stdout) ==
          nullptr)
        _exit(2);
      execl("target/wasabihook-gateway", "wasabihook-gateway", "--config",
            settings.c_str(), nullptr);
      _exit(2);
    }
    if (m_pid < 0)
      CannotRun("fork failed");
  }
  ~Gateway() {
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
  }
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  uint16_t caller() const { return m_caller; }
  uint16_t readiness() const { return m_readiness; }
  bool running() const { return waitpid(m_pid, nullptr, WNOHANG) == 0; }
  // Largest resident size so far; 0 if the process has ended.
  long PeakMb() const {
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.rfind("VmHWM:", 0) == 0)
        return std::strtol(line.c_str() + 6, nullptr, 10) / 1024;
    }
    return 0;
  }

 private:
  const uint16_t m_caller;
  const uint16_t m_readiness;
  pid_t m_pid = -1;
};

// Sends one request on a new connection from `ip`. Returns the status, or 0 if
// there is no complete answer within `patience`.
inline int Ask(uint16_t port,
               const std::string& text,
               double patience,
               const char* ip = "127.0.0.2") {
  const double until = Now() + patience;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in source = Loopback(0, ip);
  sockaddr_in target = Loopback(port);
  int status = 0;
  timeval limit{};
  limit.tv_sec = static_cast<time_t>(patience);
  limit.tv_usec = static_cast<suseconds_t>((patience - limit.tv_sec) * 1e6);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  Message answer;
  if (bind(fd, reinterpret_cast<sockaddr*>(&source), sizeof(source)) == 0 &&
      connect(fd, reinterpret_cast<sockaddr*>(&target), sizeof(target)) == 0 &&
      SendAll(fd, text) && Reader(fd).Read(&answer, until) &&
      answer.first_line.size() > 12)
    status = std::atoi(answer.first_line.c_str() + 9);
  close(fd);
  return status;
}

inline std::string OrdinaryRequest(const std::string& id) {
  return "GET /timi402/2f HTTP/1.1\r\nHost: pupu76.example\r\nX-Request-Id: " +
         id + "\r\nX-Deadline-Ms: 2500\r\n\r\n";
}

inline std::string ReadinessQuestion() {
  return "GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
}

// An ordinary client and the platform's readiness check. Each request waits for
// its time budget, each check for a second.
class Observer {
 public:
  Observer(Record* record, const Gateway* gateway)
      : m_record(record), m_gateway(gateway), m_last_answer(Now()) {
    m_client = std::thread([this] {
      for (int i = 0; !m_stop; ++i) {
        const std::string id = "ordinary-" + std::to_string(i);
        Note("request " + id,
             Ask(m_gateway->caller(), OrdinaryRequest(id), 2.5));
        SleepFor(0.25);
      }
    });
    m_platform = std::thread([this] {
      while (!m_stop) {
        const double at = Now();
        Note("readiness", Ask(m_gateway->readiness(), ReadinessQuestion(), 1));
        SleepFor(std::max(0.0, at + 1 - Now()));
      }
    });
  }
  ~Observer() { Stop(); }
  void Stop() {
    if (m_stop.exchange(true))
      return;
    m_client.join();
    m_platform.join();
    const std::lock_guard lock(m_mutex);
    m_longest_silence = std::max(m_longest_silence, Now() - m_last_answer);
  }
  // Longest time without an answer of any kind. Requires Stop().
  double longest_silence() const { return m_longest_silence; }
  int answered() const { return m_answered; }
  int unanswered() const { return m_unanswered; }

 private:
  void Note(const std::string& what, int status) {
    const std::lock_guard lock(m_mutex);
    const double now = Now();
    if (status != 0) {
      m_longest_silence = std::max(m_longest_silence, now - m_last_answer);
      m_last_answer = now;
      ++m_answered;
    } else {
      ++m_unanswered;
    }
    m_record->Write(
        what + ": " + (status == 0 ? "no answer" : std::to_string(status)) +
        ", peak memory " + std::to_string(m_gateway->PeakMb()) + " MB");
  }

  Record* const m_record;
  const Gateway* const m_gateway;
  std::mutex m_mutex;
  double m_last_answer;
  double m_longest_silence = 0;
  int m_answered = 0;
  int m_unanswered = 0;
  std::atomic<bool> m_stop{false};
  std::thread m_client;
  std::thread m_platform;
};

// Raises the number of descriptors of this script and of the process under test
// as far as allowed. They need those of the machine, and some more.
inline void NeedDescriptors() {
  constexpr rlim_t kWanted = 8192;
  constexpr rlim_t kNeeded = 4500;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_cur < kWanted) {
    limit.rlim_cur = std::min(limit.rlim_max, kWanted);
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  if (limit.rlim_cur < kNeeded)
    CannotRun("too few descriptors are allowed");
}

// A store, four servers of one service, one process of the system, and the
// checks that the cases share.
class Scene {
 public:
  Scene() {
    NeedDescriptors();
    const char* folder = std::getenv("FOLDER");
    if (folder == nullptr || access("target/wasabihook-gateway", X_OK) != 0)
      CannotRun("FOLDER is not set or the gateway is not built");
    for (int i = 1; i <= 4; ++i) {
      m_servers.push_back(
          std::make_unique<Server>("i-" + std::to_string(i), "kafi81c", 0.005));
      m_servers.back()->Register(m_store);
    }
    PutConfiguration(m_store, "kafi81c");
    m_gateway = std::make_unique<Gateway>(m_store, folder);
    const double until = Now() + 15;
    while (Ask(m_gateway->readiness(), ReadinessQuestion(), 1) != 200) {
      if (Now() > until)
        CannotRun("the process is not ready");
      SleepFor(0.1);
    }
    if (Ask(m_gateway->caller(), OrdinaryRequest("first"), 2.5) != 200)
      CannotRun("an ordinary request is not served in calm");
    m_record.Write("ready; an ordinary request was served");
  }

  Record& record() { return m_record; }
  const Gateway& gateway() const { return *m_gateway; }

  // Runs `trouble` for `seconds` beside ordinary requests and readiness checks,
  // unless TROUBLE=0. Ends with the exit status of the script.
  [[noreturn]] void Run(double seconds,
                        const std::function<void(double until)>& trouble) {
    Observer observer(&m_record, m_gateway.get());
    SleepFor(3);
    const double until = Now() + seconds;
    if (HasTrouble()) {
      m_record.Write("the crowd starts");
      trouble(until);
      m_record.Write("the crowd has left");
    } else {
      SleepFor(seconds);
    }
    SleepFor(3);
    observer.Stop();
    const bool running = m_gateway->running();
    const long peak = m_gateway->PeakMb();
    const int after = Ask(m_gateway->caller(), OrdinaryRequest("last"), 2.5);
    char summary[256];
    std::snprintf(summary, sizeof(summary),
                  "process %s; peak memory %ld MB of %d MB; longest time "
                  "without any answer %.1f s; %d answers, %d questions without "
                  "one; afterwards: %d",
                  running ? "runs" : "has ended", peak, Gateway::kMemoryMb,
                  observer.longest_silence(), observer.answered(),
                  observer.unanswered(), after);
    m_record.Write(summary);
    std::printf("%s\n", summary);
    // Five checks of readiness in a row, and twice the time budget of a
    // request.
    constexpr double kHang = 5;
    const bool broken = !running || peak > Gateway::kMemoryMb ||
                        observer.longest_silence() >= kHang;
    m_record.Write(broken ? "BROKEN" : "held");
    m_gateway.reset();
    std::fflush(stdout);
    // The threads of the stand-ins still run.
    std::_Exit(broken ? 1 : 0);
  }

 private:
  Record m_record;
  Store m_store;
  std::vector<std::unique_ptr<Server>> m_servers;
  std::unique_ptr<Gateway> m_gateway;
};

}  // namespace stage

#endif  // REVIEW_STANDIN_3_STAGE_HPP_
