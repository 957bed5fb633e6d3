#include "testing/fake_platform_server.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "peers/platform/wire.h"
#include "testing/fake_platform_control.h"
#include "wasabihook/config.h"

namespace wasabihook::testing {
namespace {

using Json = nlohmann::json;

const std::string kKeyPath = "/v1/kv/";
const std::string kLeasePath = "/v1/leases";
const std::string kInstancePath = "/v1/instances";
// Fits a value of the maximum size with every character escaped.
constexpr size_t kMaxBodyBytes = 8 * config::kMaxPlatformValueBytes;
constexpr uint64_t kMaxWaitMs = 10ULL * 60 * 1000;

// Request that violates the protocol.
struct BadRequestError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void Send(const HttpResponder& respond, platform::WireResponse response) {
  respond({.status = response.status, .body = std::move(response.body)});
}

// Answers a lost call, whose status is kUnknown, with a server error that does
// not tell whether the call took effect. Returns false for any other status.
bool RespondIfLost(const HttpResponder& respond, StoreStatus status) {
  if (status != StoreStatus::kUnknown) {
    return false;
  }
  respond({.status = 500, .body = R"({"error":"lost"})"});
  return true;
}

std::optional<uint64_t> ParseNumber(const std::string& text) {
  uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc() ||
      end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

std::optional<uint64_t> NumberArgument(const HttpRequest& request,
                                       const char* name) {
  const std::optional<std::string> text = request.QueryArgument(name);
  if (!text) {
    return std::nullopt;
  }
  const std::optional<uint64_t> number = ParseNumber(*text);
  if (!number) {
    throw BadRequestError(std::string("malformed ") + name);
  }
  return number;
}

Revision RequiredRevision(const HttpRequest& request) {
  const auto revision = NumberArgument(request, "cas");
  if (!revision) {
    throw BadRequestError("missing cas");
  }
  return Revision(*revision);
}

std::function<void(WriteResult)> WriteResponder(const std::string& key,
                                                const HttpResponder& respond) {
  return [key, respond](const WriteResult& result) {
    if (!RespondIfLost(respond, result.status)) {
      Send(respond, platform::EncodeWrite(key, result));
    }
  };
}

std::function<void(StoreStatus)> StatusResponder(const HttpResponder& respond) {
  return [respond](StoreStatus status) {
    if (!RespondIfLost(respond, status)) {
      Send(respond, platform::EncodeStatus(status));
    }
  };
}

}  // namespace

FakePlatformServer::FakePlatformServer(FakePlatform* platform,
                                       const std::string& address)
    : m_platform(platform),
      m_listener({.address = address,
                  .max_body_bytes = kMaxBodyBytes,
                  .max_connections = 8192},
                 [this](const HttpRequest& request, HttpResponder respond) {
                   try {
                     Serve(request, respond);
                   } catch (const BadRequestError& error) {
                     Send(respond, platform::EncodeBadRequest(error.what()));
                   }
                 }) {}

void FakePlatformServer::Serve(const HttpRequest& request,
                               const HttpResponder& respond) {
  const std::string& path = request.path;
  if (request.refused_status) {
    Send(respond, platform::EncodeStatus(StoreStatus::kTooLarge));
  } else if (path == "/v1/kv" && request.method == "GET") {
    ServeList(request, respond);
  } else if (path.starts_with(kKeyPath) && path.size() > kKeyPath.size()) {
    ServeKey(request, path.substr(kKeyPath.size()), respond);
  } else if (path.starts_with(kLeasePath)) {
    ServeLease(request, path.substr(kLeasePath.size()), respond);
  } else if (path.starts_with(kInstancePath)) {
    ServeInstance(request, path.substr(kInstancePath.size()), respond);
  } else {
    ServeControl(request, respond);
  }
}

void FakePlatformServer::ServeKey(const HttpRequest& request,
                                  const std::string& key,
                                  const HttpResponder& respond) {
  if (request.method == "GET") {
    m_platform->Get(key, [respond](const GetResult& result) {
      if (!RespondIfLost(respond, result.status)) {
        Send(respond, platform::EncodeGet(result));
      }
    });
  } else if (request.method == "PUT") {
    auto value = platform::DecodeValue(request.body);
    if (!value) {
      throw BadRequestError("malformed value");
    }
    m_platform->CompareAndSwapWithLease(
        key, RequiredRevision(request), std::move(*value),
        NumberArgument(request, "lease").value_or(0),
        WriteResponder(key, respond));
  } else if (request.method == "DELETE") {
    m_platform->Delete(key, RequiredRevision(request),
                       WriteResponder(key, respond));
  } else {
    throw BadRequestError("unknown method");
  }
}

void FakePlatformServer::ServeList(const HttpRequest& request,
                                   const HttpResponder& respond) {
  const auto revision = NumberArgument(request, "wait_revision");
  const uint64_t wait_ms =
      std::min(kMaxWaitMs, NumberArgument(request, "timeout_ms").value_or(0));
  m_platform->List(request.QueryArgument("prefix").value_or(""),
                   revision ? std::optional(Revision(*revision)) : std::nullopt,
                   std::chrono::milliseconds(wait_ms),
                   [respond](const ListResult& result) {
                     if (!RespondIfLost(respond, result.status)) {
                       Send(respond, platform::EncodeList(result));
                     }
                   });
}

void FakePlatformServer::ServeLease(const HttpRequest& request,
                                    const std::string& rest,
                                    const HttpResponder& respond) {
  static const std::string kKeepAlive = "/keepalive";
  if (request.method != "POST") {
    throw BadRequestError("unknown method");
  }
  if (rest.empty()) {
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object() || !json.contains("ttl_ms") ||
        !json["ttl_ms"].is_number_unsigned()) {
      throw BadRequestError("malformed ttl_ms");
    }
    const auto ttl_ms = std::min(kMaxWaitMs, json["ttl_ms"].get<uint64_t>());
    m_platform->GrantLease(
        std::chrono::milliseconds(ttl_ms),
        [respond, ttl_ms](StoreStatus status, uint64_t id) {
          if (status == StoreStatus::kOk) {
            respond({.body = Json{{"id", id}, {"ttl_ms", ttl_ms}}.dump()});
          } else {
            StatusResponder(respond)(status);
          }
        });
    return;
  }
  const auto id =
      rest.ends_with(kKeepAlive)
          ? ParseNumber(rest.substr(1, rest.size() - kKeepAlive.size() - 1))
          : std::nullopt;
  if (!id) {
    throw BadRequestError("malformed lease");
  }
  m_platform->KeepLeaseAlive(*id, StatusResponder(respond));
}

void FakePlatformServer::ServeInstance(const HttpRequest& request,
                                       const std::string& id,
                                       const HttpResponder& respond) {
  if (request.method == "GET" && id.empty()) {
    m_platform->ListInstances([respond](const InstanceListResult& result) {
      if (!RespondIfLost(respond, result.status)) {
        Send(respond, platform::EncodeInstances(result));
      }
    });
    return;
  }
  auto instance = platform::DecodeInstance(request.body);
  if (request.method != "PUT" || !instance ||
      id != "/" + instance->id.value()) {
    throw BadRequestError("malformed instance");
  }
  m_platform->Announce(std::move(*instance), StatusResponder(respond));
}

void FakePlatformServer::ServeControl(const HttpRequest& request,
                                      const HttpResponder& respond) {
  static const std::string kRemoveInstance = "/control/instances/";
  const std::string call = request.method + " " + request.path;
  if (call == "GET /stats") {
    respond({.body = EncodeStats(m_platform->Stats())});
  } else if (call == "GET /control/faults") {
    respond({.body = EncodeFaults(m_platform->faults())});
  } else if (call == "PUT /control/faults") {
    try {
      m_platform->SetFaults(UpdateFaults(m_platform->faults(), request.body));
    } catch (const std::invalid_argument& error) {
      throw BadRequestError(error.what());
    }
    respond({.body = EncodeFaults(m_platform->faults())});
  } else if (call == "POST /control/lapse-leases") {
    m_platform->ExpireLeases();
    respond({.body = "{}"});
  } else if (request.method == "DELETE" &&
             request.path.starts_with(kRemoveInstance)) {
    m_platform->RemoveInstance(
        InstanceId(request.path.substr(kRemoveInstance.size())));
    respond({.body = "{}"});
  } else {
    Send(respond, platform::EncodeStatus(StoreStatus::kNotFound));
  }
}

}  // namespace wasabihook::testing
