#include "testing/fake_backends/http_message.h"

#include <strings.h>

#include <charconv>

namespace wasabihook::testing {
namespace {

constexpr size_t kMaxRequestBytes = size_t{4} * 1024 * 1024;

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string_view TrimLeft(std::string_view text) {
  size_t first = text.find_first_not_of(" \t");
  return first == std::string_view::npos ? std::string_view()
                                         : text.substr(first);
}

}  // namespace

std::string_view HttpRequest::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) {
      return value;
    }
  }
  return {};
}

uint64_t HttpRequest::NumberHeader(std::string_view name) const {
  const std::string_view text = Header(name);
  uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

std::string HttpRequest::QueryValue(std::string_view name) const {
  std::string_view rest = query;
  while (!rest.empty()) {
    const size_t end = rest.find('&');
    const std::string_view part = rest.substr(0, end);
    if (part.starts_with(name) && part.size() > name.size() &&
        part[name.size()] == '=') {
      return std::string(part.substr(name.size() + 1));
    }
    rest = end == std::string_view::npos ? std::string_view()
                                         : rest.substr(end + 1);
  }
  return {};
}

bool HttpRequestParser::ParseHead(std::string_view head, HttpRequest* request) {
  const size_t line_end = head.find("\r\n");
  const std::string_view line = head.substr(0, line_end);
  const size_t first = line.find(' ');
  const size_t second = line.rfind(' ');
  if (first == std::string_view::npos || second <= first) {
    return false;
  }
  request->method = line.substr(0, first);
  const std::string_view target = line.substr(first + 1, second - first - 1);
  const size_t question = target.find('?');
  request->path = target.substr(0, question);
  if (question != std::string_view::npos) {
    request->query = target.substr(question + 1);
  }
  std::string_view rest = head.substr(std::min(line_end + 2, head.size()));
  while (!rest.empty()) {
    const size_t end = std::min(rest.find("\r\n"), rest.size());
    const std::string_view header = rest.substr(0, end);
    if (const size_t colon = header.find(':');
        colon != std::string_view::npos) {
      request->headers.emplace_back(header.substr(0, colon),
                                    TrimLeft(header.substr(colon + 1)));
    }
    rest = rest.substr(std::min(end + 2, rest.size()));
  }
  return true;
}

std::optional<HttpRequest> HttpRequestParser::Next() {
  const size_t head_end = m_buffer.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    m_bad = m_bad || m_buffer.size() > kMaxRequestBytes;
    return std::nullopt;
  }
  HttpRequest request;
  if (!ParseHead(std::string_view(m_buffer).substr(0, head_end + 2),
                 &request)) {
    m_bad = true;
    return std::nullopt;
  }
  const uint64_t length = request.NumberHeader("Content-Length");
  const size_t body_at = head_end + 4;
  if (length > kMaxRequestBytes) {
    m_bad = true;
    return std::nullopt;
  }
  if (m_buffer.size() < body_at + length) {
    return std::nullopt;
  }
  request.body = m_buffer.substr(body_at, length);
  m_buffer.erase(0, body_at + length);
  return request;
}

std::string MakeReply(int status,
                      const HttpHeaders& headers,
                      std::string_view body) {
  std::string reply = "HTTP/1.1 " + std::to_string(status) +
                      " S\r\nContent-Type: application/json\r\n";
  for (const auto& [name, value] : headers) {
    reply.append(name).append(": ").append(value).append("\r\n");
  }
  reply.append("Content-Length: ")
      .append(std::to_string(body.size()))
      .append("\r\n\r\n")
      .append(body);
  return reply;
}

}  // namespace wasabihook::testing
