#include "peers/platform/http_platform_client.h"

#include <array>
#include <atomic>
#include <utility>

#include "peers/platform/curl_loop.h"
#include "peers/platform/wire.h"

namespace wasabihook::platform {
namespace {

constexpr size_t kCallKindCount = 7;
constexpr size_t kStoreStatusCount = 6;

bool IsWrite(CallKind kind) {
  return kind == CallKind::kWrite || kind == CallKind::kDelete ||
         kind == CallKind::kAnnounce;
}

template <typename Result>
Result FailedResult(StoreStatus status) {
  if constexpr (std::is_same_v<Result, StoreStatus>) {
    return status;
  } else {
    Result result;
    result.status = status;
    return result;
  }
}

template <typename Result>
StoreStatus StatusOf(const Result& result) {
  if constexpr (std::is_same_v<Result, StoreStatus>) {
    return result;
  } else {
    return result.status;
  }
}

}  // namespace

std::string ToString(CallKind kind) {
  static constexpr std::array<const char*, kCallKindCount> kNames = {
      "get", "list", "watch", "write", "delete", "list_instances", "announce"};
  return kNames[static_cast<size_t>(kind)];
}

std::string ToString(StoreStatus status) {
  static constexpr std::array<const char*, kStoreStatusCount> kNames = {
      "ok", "not_found", "conflict", "unavailable", "unknown", "too_large"};
  return kNames[static_cast<size_t>(status)];
}

class HttpPlatformClient::Impl {
 public:
  explicit Impl(PlatformClientOptions options)
      : m_options(std::move(options)),
        m_curl({.connect_timeout = m_options.connect_timeout,
                .idle_timeout = m_options.idle_timeout,
                .max_concurrent_transfers = m_options.max_concurrent_calls,
                .max_connections = m_options.max_connections,
                .max_response_bytes = m_options.max_response_bytes}) {}

  const PlatformClientOptions& options() const { return m_options; }

  // `decode` converts a WireResponse into a Result.
  template <typename Result, typename Decode>
  void Call(CallKind kind,
            Transfer transfer,
            Decode decode,
            std::function<void(Result)> done) {
    transfer.url = "http://" + m_options.address + transfer.url;
    transfer.is_write = IsWrite(kind);
    transfer.done = [this, kind, decode = std::move(decode),
                     done = std::move(done)](TransferResult transfer_result) {
      Result result = FailedResult<Result>(transfer_result.outcome ==
                                                   TransferOutcome::kNotSent
                                               ? StoreStatus::kUnavailable
                                               : StoreStatus::kUnknown);
      if (transfer_result.outcome == TransferOutcome::kResponded) {
        result = decode(transfer_result.response);
      }
      RecordCall(kind, StatusOf(result), transfer_result.elapsed);
      done(std::move(result));
    };
    m_curl.Start(std::move(transfer));
  }

  uint64_t Count(CallKind kind, StoreStatus status) const {
    return m_call_counts[static_cast<size_t>(kind)]
                        [static_cast<size_t>(status)];
  }

 private:
  void RecordCall(CallKind kind, StoreStatus status, Duration elapsed) {
    m_call_counts[static_cast<size_t>(kind)][static_cast<size_t>(status)]++;
    if (m_options.on_call) {
      m_options.on_call(kind, status, elapsed);
    }
  }

  const PlatformClientOptions m_options;
  std::array<std::array<std::atomic<uint64_t>, kStoreStatusCount>,
             kCallKindCount>
      m_call_counts{};
  // Declared last so that its thread is joined before other members are
  // destroyed.
  CurlLoop m_curl;
};

HttpPlatformClient::HttpPlatformClient(PlatformClientOptions options)
    : m_impl(std::make_unique<Impl>(std::move(options))) {}

HttpPlatformClient::~HttpPlatformClient() = default;

uint64_t HttpPlatformClient::Count(CallKind kind, StoreStatus status) const {
  return m_impl->Count(kind, status);
}

void HttpPlatformClient::Get(std::string key,
                             std::function<void(GetResult)> done) {
  Transfer transfer{.method = "GET",
                    .url = "/v1/kv/" + PercentEncode(key, true),
                    .body = {},
                    .timeout = m_impl->options().call_timeout,
                    .done = {}};
  m_impl->Call<GetResult>(
      CallKind::kGet, std::move(transfer),
      [key = std::move(key)](const WireResponse& response) {
        return DecodeGet(response, key);
      },
      std::move(done));
}

void HttpPlatformClient::List(std::string prefix,
                              std::optional<Revision> newer_than,
                              Duration wait,
                              std::function<void(ListResult)> done) {
  Transfer transfer{.method = "GET",
                    .url = "/v1/kv?prefix=" + PercentEncode(prefix, true),
                    .body = {},
                    .timeout = m_impl->options().call_timeout,
                    .done = {}};
  if (newer_than) {
    const auto wait_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(wait);
    transfer.url +=
        "&wait_revision=" + std::to_string(newer_than->value()) +
        "&timeout_ms=" + std::to_string(std::max<int64_t>(0, wait_ms.count()));
    transfer.timeout = wait + m_impl->options().watch_timeout_margin;
  }
  m_impl->Call<ListResult>(
      newer_than ? CallKind::kWatch : CallKind::kList, std::move(transfer),
      [prefix = std::move(prefix)](const WireResponse& response) {
        return DecodeList(response, prefix);
      },
      std::move(done));
}

void HttpPlatformClient::CompareAndSwap(std::string key,
                                        Revision expected,
                                        std::string value,
                                        std::function<void(WriteResult)> done) {
  Transfer transfer{.method = "PUT",
                    .url = "/v1/kv/" + PercentEncode(key, true) +
                           "?cas=" + std::to_string(expected.value()),
                    .body = EncodeValue(value),
                    .timeout = m_impl->options().call_timeout,
                    .done = {}};
  m_impl->Call<WriteResult>(
      CallKind::kWrite, std::move(transfer),
      [key = std::move(key)](const WireResponse& response) {
        return DecodeWrite(response, key);
      },
      std::move(done));
}

void HttpPlatformClient::Delete(std::string key,
                                Revision expected,
                                std::function<void(WriteResult)> done) {
  Transfer transfer{.method = "DELETE",
                    .url = "/v1/kv/" + PercentEncode(key, true) +
                           "?cas=" + std::to_string(expected.value()),
                    .body = {},
                    .timeout = m_impl->options().call_timeout,
                    .done = {}};
  m_impl->Call<WriteResult>(
      CallKind::kDelete, std::move(transfer),
      [key = std::move(key)](const WireResponse& response) {
        return DecodeWrite(response, key);
      },
      std::move(done));
}

void HttpPlatformClient::ListInstances(
    std::function<void(InstanceListResult)> done) {
  Transfer transfer{.method = "GET",
                    .url = "/v1/instances",
                    .body = {},
                    .timeout = m_impl->options().call_timeout,
                    .done = {}};
  m_impl->Call<InstanceListResult>(CallKind::kListInstances,
                                   std::move(transfer), &DecodeInstances,
                                   std::move(done));
}

void HttpPlatformClient::Announce(ListedInstance self,
                                  std::function<void(StoreStatus)> done) {
  Transfer transfer{
      .method = "PUT",
      .url = "/v1/instances/" + PercentEncode(self.id.value(), false),
      .body = EncodeInstance(self),
      .timeout = m_impl->options().call_timeout,
      .done = {}};
  m_impl->Call<StoreStatus>(CallKind::kAnnounce, std::move(transfer),
                            &DecodeStatus, std::move(done));
}

}  // namespace wasabihook::platform
