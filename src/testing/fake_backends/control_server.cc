#include "testing/fake_backends/control_server.h"

#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

namespace wasabihook::testing {
namespace {

using Json = nlohmann::json;

Json ToJson(const std::vector<Run>& runs) {
  Json list = Json::array();
  for (const Run& run : runs) {
    Json entry = {{"kind", run.kind},
                  {"server", run.server},
                  {"index_set", run.index_set},
                  {"request_id", run.request_id},
                  {"group", run.group},
                  {"payload", run.payload},
                  {"index_version", run.index_version},
                  {"map_version", run.map_version}};
    if (!run.idempotency_key.empty()) {
      entry["idempotency_key"] = run.idempotency_key;
    }
    list.push_back(std::move(entry));
  }
  return list;
}

Json ServersJson(const FakeFleet& fleet) {
  Json list = Json::array();
  for (const FakeServerInfo& info : fleet.servers()) {
    list.push_back({{"server", info.id.value()},
                    {"index_set", info.index_set},
                    {"group", "g" + std::to_string(info.base_group)},
                    {"data_centre", info.data_centre}});
  }
  return list;
}

std::string ErrorBody(const std::string& message) {
  return Json{{"error", message}}.dump();
}

}  // namespace

ControlServer::ControlServer(FakeFleet* fleet, uint16_t port)
    : m_fleet(fleet),
      m_http(std::make_unique<HttpServer>(
          &m_loop,
          HttpServer::Hooks{
              .on_request =
                  [this](HttpServer::ConnectionId id, HttpRequest request) {
                    const Reply reply = Serve(request);
                    m_http->Reply(id, MakeReply(reply.status, {}, reply.body));
                  },
              .on_closed = nullptr})) {
  std::exception_ptr error;
  m_loop.RunAndWait([&] {
    try {
      m_http->Listen(port);
    } catch (const std::exception&) {
      error = std::current_exception();
      m_http.reset();
    }
  });
  if (error) {
    std::rethrow_exception(error);
  }
}

ControlServer::~ControlServer() {
  m_loop.RunAndWait([this] { m_http.reset(); });
}

std::string ControlServer::address() const {
  return "127.0.0.1:" + std::to_string(m_http->port());
}

ControlServer::Reply ControlServer::Serve(const HttpRequest& request) {
  try {
    if (request.method == "GET") {
      return Get(request);
    }
    if (request.method == "POST") {
      return Post(request);
    }
    return {405, ErrorBody("use GET or POST")};
  } catch (const std::exception& error) {
    return {400, ErrorBody(error.what())};
  }
}

ControlServer::Reply ControlServer::Get(const HttpRequest& request) {
  if (request.path == "/stats") {
    return {200, m_fleet->StatsJson().dump()};
  }
  if (request.path == "/servers") {
    return {200, ServersJson(*m_fleet).dump()};
  }
  if (request.path == "/settings") {
    const std::string team = request.QueryValue("team");
    return {200, m_fleet->SettingsToml(team.empty() ? "team" : team)};
  }
  if (request.path == "/log") {
    Json log = {{"operations", ToJson(m_fleet->log().Operations())}};
    if (request.QueryValue("kind") != "operation") {
      log["reads"] = ToJson(m_fleet->log().Reads());
    }
    return {200, log.dump()};
  }
  return {404, ErrorBody("no such path")};
}

ControlServer::Reply ControlServer::Post(const HttpRequest& request) {
  const Json body =
      request.body.empty() ? Json::object() : Json::parse(request.body);
  const ServerSelector select =
      ServerSelector::FromJson(body.value("select", Json::object()));
  if (request.path == "/faults") {
    return {
        200,
        Json{{"servers", m_fleet->Change(select, body.at("faults"))}}.dump()};
  }
  if (request.path == "/index") {
    const size_t servers = m_fleet->RollIndexVersion(
        body.at("index_set").get<std::string>(),
        body.at("index_version").get<uint64_t>(), select);
    return {200, Json{{"servers", servers}}.dump()};
  }
  if (request.path == "/repartition") {
    const uint64_t version =
        m_fleet->Repartition(body.at("index_set").get<std::string>(),
                             body.at("groups").get<uint32_t>());
    return {200, Json{{"map_version", version}}.dump()};
  }
  if (request.path == "/log/clear") {
    m_fleet->log().Clear();
    return {200, "{}"};
  }
  return {404, ErrorBody("no such path")};
}

}  // namespace wasabihook::testing
