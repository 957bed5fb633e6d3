#include "peers/instance/peer_rpc_client.h"

#include <curl/curl.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

#include <exception>
#include <utility>

namespace wasabihook {

// Sends JSON-RPC messages as HTTP POST requests.
class PeerRpcClient::Connector : public jsonrpc::IClientConnector {
 public:
  explicit Connector(PeerRpcOptions options)
      : m_options(std::move(options)),
        m_curl(curl_easy_init()),
        m_headers(
            curl_slist_append(nullptr, "Content-Type: application/json")) {
    // Without an empty Expect header, libcurl waits for "100 Continue" before
    // it sends bodies above 1 KB.
    m_headers = curl_slist_append(m_headers, "Expect:");
    if (m_curl == nullptr) {
      throw PeerCallError("curl_easy_init failed");
    }
    Configure();
  }

  ~Connector() override {
    curl_easy_cleanup(m_curl);
    curl_slist_free_all(m_headers);
  }

  Connector(const Connector&) = delete;
  Connector& operator=(const Connector&) = delete;

  void SetAddress(const std::string& address) {
    const std::string url = "http://" + address + m_options.path;
    curl_easy_setopt(m_curl, CURLOPT_URL, url.c_str());
  }

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    result.clear();
    curl_easy_setopt(m_curl, CURLOPT_POSTFIELDS, message.data());
    curl_easy_setopt(m_curl, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(message.size()));
    ResponseBuffer buffer{&result, m_options.max_response_bytes};
    curl_easy_setopt(m_curl, CURLOPT_WRITEDATA, &buffer);
    const CURLcode code = curl_easy_perform(m_curl);
    m_bytes += message.size() + result.size();
    if (code != CURLE_OK) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                                      curl_easy_strerror(code));
    }
  }

  uint64_t bytes() const { return m_bytes; }

 private:
  struct ResponseBuffer {
    std::string* body;
    size_t limit;
  };

  static size_t OnBody(char* data, size_t size, size_t count, void* user_data) {
    auto* buffer = static_cast<ResponseBuffer*>(user_data);
    if (buffer->body->size() + size * count > buffer->limit) {
      return 0;  // Aborts the transfer.
    }
    buffer->body->append(data, size * count);
    return size * count;
  }

  void Configure() {
    curl_easy_setopt(m_curl, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(m_curl, CURLOPT_POST, 1L);
    curl_easy_setopt(m_curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(m_curl, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(m_curl, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_curl, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(m_options.timeout_ms));
    curl_easy_setopt(m_curl, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(m_options.connect_timeout_ms));
    curl_easy_setopt(m_curl, CURLOPT_MAXCONNECTS,
                     static_cast<long>(m_options.max_idle_connections));
    curl_easy_setopt(m_curl, CURLOPT_WRITEFUNCTION, &Connector::OnBody);
  }

  PeerRpcOptions m_options;
  CURL* m_curl;
  curl_slist* m_headers;
  uint64_t m_bytes = 0;
};

PeerRpcClient::PeerRpcClient(PeerRpcOptions options)
    : m_connector(new Connector(std::move(options))) {}

PeerRpcClient::~PeerRpcClient() = default;

Json::Value PeerRpcClient::Call(const std::string& address,
                                const std::string& method,
                                const Json::Value& params) {
  m_connector->SetAddress(address);
  try {
    jsonrpc::Client client(*m_connector);
    return client.CallMethod(method, params);
  } catch (const std::exception& error) {
    // JsonRpcException, or a jsoncpp exception for a malformed response.
    throw PeerCallError(error.what());
  }
}

uint64_t PeerRpcClient::bytes() const {
  return m_connector->bytes();
}

}  // namespace wasabihook
