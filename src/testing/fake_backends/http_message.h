// Private. Requests and replies of the fake servers.
#ifndef SRC_TESTING_FAKE_BACKENDS_HTTP_MESSAGE_H_
#define SRC_TESTING_FAKE_BACKENDS_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace wasabihook::testing {

struct HttpRequest {
  std::string method;
  std::string path;   // Without the query.
  std::string query;  // After '?'.
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Empty if absent. `name` is not case-sensitive.
  std::string_view Header(std::string_view name) const;
  uint64_t NumberHeader(std::string_view name) const;
  // Value of `name=...` in the query; empty if absent. Not URL-decoded.
  std::string QueryValue(std::string_view name) const;
};

// Incremental parser of a stream of requests. Bodies need a Content-Length.
class HttpRequestParser {
 public:
  void Append(std::string_view data) { m_buffer.append(data); }
  // Next complete request. Empty if more data is needed or the stream is
  // malformed, see bad().
  std::optional<HttpRequest> Next();
  bool bad() const { return m_bad; }

 private:
  bool ParseHead(std::string_view head, HttpRequest* request);

  std::string m_buffer;
  bool m_bad = false;
};

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

// Serialised reply with a Content-Length.
std::string MakeReply(int status,
                      const HttpHeaders& headers,
                      std::string_view body);

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKENDS_HTTP_MESSAGE_H_
