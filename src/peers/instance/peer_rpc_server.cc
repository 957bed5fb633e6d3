#include "peers/instance/peer_rpc_server.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <exception>
#include <utility>

#include "peers/instance/peer_codec.h"
#include "wasabihook/config.h"

namespace wasabihook {
namespace {

constexpr char kParseErrorResponse[] =
    R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"parse error"}})";

}  // namespace

// Passes HTTP bodies to libjsonrpccpp. Opens no socket: HTTP is handled by the
// owner of the PeerRpcServer.
class PeerRpcServer::Connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  // `add_info` points to the std::string that receives the response.
  bool SendResponse(const std::string& response, void* add_info) override {
    *static_cast<std::string*>(add_info) = response;
    return true;
  }
};

class PeerRpcServer::MethodDispatcher
    : public jsonrpc::AbstractServer<MethodDispatcher> {
 public:
  MethodDispatcher(Connector& connector, PeerHandler handler)
      : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2),
        m_handler(std::move(handler)) {
    RegisterMethod(kDigestMethod, &MethodDispatcher::Digest);
    RegisterMethod(kPullMethod, &MethodDispatcher::Pull);
    RegisterMethod(kBurnCountsMethod, &MethodDispatcher::BurnCounts);
  }

  void Digest(const Json::Value& params, Json::Value& result) {
    Dispatch(kDigestMethod, params, result);
  }
  void Pull(const Json::Value& params, Json::Value& result) {
    Dispatch(kPullMethod, params, result);
  }
  void BurnCounts(const Json::Value& params, Json::Value& result) {
    Dispatch(kBurnCountsMethod, params, result);
  }

 private:
  void RegisterMethod(const char* name, methodPointer_t method) {
    // Declares no parameters, because DecodeRequest() validates them.
    bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, nullptr),
                     method);
  }

  void Dispatch(const std::string& method,
                const Json::Value& params,
                Json::Value& result) {
    try {
      result = Encode(m_handler(DecodeRequest(method, params)));
    } catch (const PeerDecodeError& error) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS,
                                      error.what());
    }
  }

  PeerHandler m_handler;
};

PeerRpcServer::PeerRpcServer(PeerHandler handler)
    : m_connector(std::make_unique<Connector>()),
      m_dispatcher(std::make_unique<MethodDispatcher>(*m_connector,
                                                      std::move(handler))) {}

PeerRpcServer::~PeerRpcServer() = default;

std::string PeerRpcServer::Handle(const std::string& request) {
  if (request.size() > config::kMaxPeerMessageBytes) {
    return kParseErrorResponse;
  }
  std::string response;
  try {
    m_connector->OnRequest(request, &response);
  } catch (const std::exception&) {
    // jsoncpp throws if values are nested deeper than its limit.
    return kParseErrorResponse;
  }
  return response;
}

}  // namespace wasabihook
