// Private. Control API of the fake servers; see docs/fakes.md.
#ifndef SRC_TESTING_FAKE_BACKENDS_CONTROL_SERVER_H_
#define SRC_TESTING_FAKE_BACKENDS_CONTROL_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "testing/fake_backends/event_loop.h"
#include "testing/fake_backends/fake_fleet.h"
#include "testing/fake_backends/http_server.h"

namespace wasabihook::testing {

// Serves the control API on its own event loop, since its calls wait for the
// event loops of the servers.
class ControlServer {
 public:
  // `fleet` must outlive the server. Port 0 selects a free port. Throws
  // std::runtime_error if the port is in use.
  ControlServer(FakeFleet* fleet, uint16_t port);
  ~ControlServer();

  std::string address() const;

 private:
  struct Reply {
    int status = 200;
    std::string body;
  };

  Reply Serve(const HttpRequest& request);
  Reply Get(const HttpRequest& request);
  Reply Post(const HttpRequest& request);

  FakeFleet* const m_fleet;
  EventLoop m_loop;
  std::unique_ptr<HttpServer> m_http;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_BACKENDS_CONTROL_SERVER_H_
