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

// Hands HTTP bodies to libjsonrpccpp. The listener is started by its owner.
class PeerRpcServer::Connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  // `add_info` is the std::string that receives the response.
  bool SendResponse(const std::string& response, void* add_info) override {
    *static_cast<std::string*>(add_info) = response;
    return true;
  }
};

class PeerRpcServer::Methods : public jsonrpc::AbstractServer<Methods> {
 public:
  Methods(Connector& connector, PeerHandler handler)
      : AbstractServer(connector, jsonrpc::JSONRPC_SERVER_V2),
        m_handler(std::move(handler)) {
    Bind(kDigestMethod, &Methods::Digest);
    Bind(kPullMethod, &Methods::Pull);
    Bind(kBurnCountsMethod, &Methods::BurnCounts);
  }

  void Digest(const Json::Value& params, Json::Value& result) {
    Serve(kDigestMethod, params, result);
  }
  void Pull(const Json::Value& params, Json::Value& result) {
    Serve(kPullMethod, params, result);
  }
  void BurnCounts(const Json::Value& params, Json::Value& result) {
    Serve(kBurnCountsMethod, params, result);
  }

 private:
  void Bind(const char* name, methodPointer_t method) {
    // Parameters are checked by the decoder, so none is declared here.
    bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, nullptr),
                     method);
  }

  void Serve(const std::string& method,
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
      m_methods(std::make_unique<Methods>(*m_connector, std::move(handler))) {}

PeerRpcServer::~PeerRpcServer() = default;

std::string PeerRpcServer::Handle(const std::string& request) {
  if (request.size() > config::kMaxPeerMessageBytes) {
    return kParseErrorResponse;
  }
  std::string response;
  try {
    m_connector->OnRequest(request, &response);
  } catch (const std::exception&) {
    // jsoncpp throws on texts nested deeper than its limit.
    return kParseErrorResponse;
  }
  return response;
}

}  // namespace wasabihook
