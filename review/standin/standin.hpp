// Stand-ins for the platform's store, backend servers and callers, and a
// launcher for gateway processes. Plain sockets and threads, no libraries, so
// that a case can send any bytes. Every address is a loopback address.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace standin {

// Milliseconds since the start of the program (steady clock).
int64_t NowMs();
void SleepMs(int64_t ms);
// False if the case runs without its disturbance (TROUBLE=0).
bool Trouble();

// Lines of record.txt, each with the time in milliseconds.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3)));

 private:
  std::mutex m_mutex;
  FILE* m_file;
};

struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // The head as it was received.
  std::string head;

  // First value; empty if the field is missing. Names are compared without
  // regard to case.
  std::string Header(const std::string& name) const;
  bool Has(const std::string& name) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

enum class ReadResult { kOk, kClosed, kReset, kTimeout, kInvalid };
const char* ToString(ReadResult result);

// One TCP connection with blocking calls.
class Connection {
 public:
  explicit Connection(int fd) : m_fd(fd) {}
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Write(const std::string& bytes);
  // Reads the head and the body of a message; without the body if `head_only`.
  ReadResult Read(Message& out,
                  int64_t timeout_ms,
                  bool response = false,
                  bool head_only = false);
  // Reads `count` bytes.
  ReadResult ReadBytes(size_t count, int64_t timeout_ms, std::string& out);
  // True if the peer has closed or bytes wait to be read.
  bool Readable(int64_t timeout_ms);
  void Close();
  // Closes with a reset.
  void Reset();
  int fd() const { return m_fd; }
  // Bytes that belong to no message read so far.
  const std::string& rest() const { return m_input; }

 private:
  ReadResult Fill(int64_t until_ms);

  int m_fd;
  std::string m_input;
};

// Connects to "ip:port"; null on failure.
std::unique_ptr<Connection> Connect(const std::string& address,
                                    int64_t timeout_ms = 1000);

// Accepts connections and runs `handler` on a thread for each.
class Listener {
 public:
  using Handler = std::function<void(Connection&)>;
  // `max_segment`: TCP_MAXSEG of the connections; 0 leaves it to the system.
  explicit Listener(Handler handler,
                    int max_segment = 0,
                    int receive_buffer = 0);
  ~Listener();
  const std::string& address() const { return m_address; }

 private:
  void Run();

  Handler m_handler;
  int m_fd = -1;
  std::string m_address;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
  std::mutex m_mutex;
  std::set<int> m_open;
  std::atomic<int> m_running{0};
};

// The platform's store: items, revisions, watches, leases without expiry.
class Store {
 public:
  Store();
  ~Store();
  const std::string& address() const { return m_listener->address(); }
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    Item item;
    bool removed = false;
    int64_t at_ms = 0;
  };
  void Serve(Connection& connection);
  std::string Answer(const Message& request);
  std::string Range(const std::map<std::string, std::string>& query);
  std::string Watch(const std::map<std::string, std::string>& query);
  std::string Transaction(const std::string& body);
  void PutLocked(const std::string& key,
                 const std::string& value,
                 uint64_t lease);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Item> m_items;
  std::vector<Event> m_events;
  uint64_t m_forgotten = 0;
  uint64_t m_revision = 1;
  uint64_t m_next_lease = 1;
  bool m_stopping = false;
  std::unique_ptr<Listener> m_listener;
};

// A server's entry as the pages give it.
std::string ServerEntry(const std::string& service,
                        const std::string& address,
                        const std::string& zone,
                        int slots = 2,
                        const std::string& state = "ready",
                        int64_t seq = 1);

// A gateway process, started with the command of the deploy file.
class Gateway {
 public:
  // `folder` takes the settings and the output.
  Gateway(const std::string& folder,
          const std::string& id,
          const std::string& zone,
          const std::string& store_address);
  ~Gateway();
  void Start();
  void Signal(int signal);
  // True once the readiness address answers 200.
  bool WaitReady(int64_t timeout_ms);
  // Ends the process with SIGTERM, then SIGKILL, and waits for it.
  void Stop();
  // Exit status, or minus the signal; empty while the process runs.
  std::optional<int> Ended();
  const std::string& caller_address() const { return m_caller; }
  pid_t pid() const { return m_pid; }
  // Resident memory in KiB; 0 if unknown.
  int64_t ResidentKib() const;

 private:
  std::string m_config;
  std::string m_output;
  std::string m_caller;
  std::string m_readiness;
  pid_t m_pid = -1;
  std::optional<int> m_status;
};

// Runs `test` and returns the exit status of the case: 0, 1 or 2. `test` gets a
// temporary folder that is removed afterwards, and the record.
int RunCase(int argc,
            char** argv,
            const std::function<int(const std::string& folder, Record&)>& test);

}  // namespace standin
