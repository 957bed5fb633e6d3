#include "testing/load/http_call.h"

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <stdexcept>

namespace wasabihook::load {
namespace {

size_t AppendBody(char* data, size_t size, size_t count, void* body) {
  static_cast<std::string*>(body)->append(data, size * count);
  return size * count;
}

}  // namespace

HttpCallResult HttpCall(const std::string& method,
                        const std::string& url,
                        const std::string& body,
                        Duration timeout) {
  const std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(
      curl_easy_init(), &curl_easy_cleanup);
  if (!easy) {
    throw std::runtime_error("curl_easy_init failed");
  }
  const std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)> headers(
      curl_slist_append(nullptr, "Content-Type: application/json"),
      &curl_slist_free_all);
  HttpCallResult result;
  curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, headers.get());
  if (method != "GET") {
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE,
                     static_cast<long>(body.size()));
  }
  curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, &AppendBody);
  curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &result.body);
  curl_easy_setopt(
      easy.get(), CURLOPT_TIMEOUT_MS,
      static_cast<long>(
          std::chrono::duration_cast<std::chrono::milliseconds>(timeout)
              .count()));
  curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy.get(), CURLOPT_PROXY, "");
  if (curl_easy_perform(easy.get()) == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &status);
    result.status = static_cast<int>(status);
  }
  return result;
}

}  // namespace wasabihook::load
