#include "peers/operator/admin_client.h"

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "wasabihook/config.h"

namespace wasabihook {
namespace {

using nlohmann::json;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

struct CurlDeleter {
  void operator()(CURL* curl) const { curl_easy_cleanup(curl); }
  void operator()(curl_slist* header_list) const {
    curl_slist_free_all(header_list);
  }
};

size_t AppendBody(char* data, size_t size, size_t count, void* user_data) {
  auto* body = static_cast<std::string*>(user_data);
  if (body->size() + size * count > config::kMaxBackendReplyBytes) {
    return 0;  // Aborts the transfer.
  }
  body->append(data, size * count);
  return size * count;
}

// Sends a GET request if `body` is empty, otherwise a POST request.
AdminReply PerformRequest(const std::string& url,
                          const std::string& body,
                          const std::vector<std::string>& headers,
                          Duration timeout) {
  const std::unique_ptr<CURL, CurlDeleter> curl(curl_easy_init());
  curl_slist* header_list = curl_slist_append(nullptr, "Expect:");
  for (const std::string& header : headers) {
    header_list = curl_slist_append(header_list, header.c_str());
  }
  const std::unique_ptr<curl_slist, CurlDeleter> owned_headers(header_list);
  AdminReply reply;
  curl_easy_setopt(curl.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, header_list);
  curl_easy_setopt(curl.get(), CURLOPT_NOPROXY, "*");
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(
      curl.get(), CURLOPT_TIMEOUT_MS,
      static_cast<long>(duration_cast<milliseconds>(timeout).count()));
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &reply.body);
  if (!body.empty()) {
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
  }
  if (const CURLcode code = curl_easy_perform(curl.get()); code != CURLE_OK) {
    throw AdminCallError(url + ": " + curl_easy_strerror(code));
  }
  long status = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  reply.http_status = static_cast<int>(status);
  return reply;
}

std::string RequestPath(RequestKind kind) {
  switch (kind) {
    case RequestKind::kSearch:
      return "/v1/search";
    case RequestKind::kFetch:
      return "/v1/fetch";
    case RequestKind::kOperation:
      return "/v1/operations";
  }
  return "";
}

json RequestBody(const AdminQuery& query) {
  json body = {{"team", query.team.value()},
               {"index_set", query.index_set.value()}};
  if (query.kind == RequestKind::kSearch) {
    body["query"] = query.query;
    return body;
  }
  body["record_key"] = query.record_key;
  if (query.kind == RequestKind::kOperation) {
    json operation = json::parse(query.operation, nullptr, false);
    body["operation"] =
        operation.is_object() ? std::move(operation) : json(query.operation);
  }
  return body;
}

}  // namespace

AdminClient::AdminClient(std::string address, Duration timeout)
    : m_address(std::move(address)), m_timeout(timeout) {}

AdminReply AdminClient::Status() const {
  return PerformRequest("http://" + m_address + "/v1/status", "", {},
                        m_timeout);
}

AdminReply AdminClient::Send(const AdminQuery& query) const {
  std::vector<std::string> headers = {"Content-Type: application/json"};
  if (query.deadline) {
    headers.push_back(
        "X-Deadline-Ms: " +
        std::to_string(duration_cast<milliseconds>(*query.deadline).count()));
  }
  if (query.kind == RequestKind::kOperation) {
    headers.push_back("Idempotency-Key: " + query.idempotency_key.value());
    headers.push_back("Idempotency-Issued-At: " +
                      std::to_string(query.issued_at.since_unix_epoch.count()));
  }
  return PerformRequest("http://" + m_address + RequestPath(query.kind),
                        RequestBody(query).dump(), headers, m_timeout);
}

}  // namespace wasabihook
