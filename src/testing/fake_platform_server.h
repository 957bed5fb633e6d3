#ifndef SRC_TESTING_FAKE_PLATFORM_SERVER_H_
#define SRC_TESTING_FAKE_PLATFORM_SERVER_H_

#include <string>

#include "runtime/http_listener.h"
#include "testing/fake_platform.h"

namespace wasabihook::testing {

// Serves a FakePlatform over the platform protocol, together with the control
// API of docs/fake-platform.md.
class FakePlatformServer {
 public:
  // `platform` must outlive the server. `address` is "ip:port"; port 0 selects
  // a free port. Throws std::runtime_error if it cannot be bound.
  FakePlatformServer(FakePlatform* platform, const std::string& address);

  const std::string& address() const { return m_listener.address(); }
  void Stop() { m_listener.Stop(Duration(0)); }

 private:
  void Serve(const HttpRequest& request, const HttpResponder& respond);
  void ServeKey(const HttpRequest& request,
                const std::string& key,
                const HttpResponder& respond);
  void ServeList(const HttpRequest& request, const HttpResponder& respond);
  void ServeLease(const HttpRequest& request,
                  const std::string& rest,
                  const HttpResponder& respond);
  void ServeInstance(const HttpRequest& request,
                     const std::string& id,
                     const HttpResponder& respond);
  void ServeControl(const HttpRequest& request, const HttpResponder& respond);

  FakePlatform* const m_platform;
  HttpListener m_listener;
};

}  // namespace wasabihook::testing

#endif  // SRC_TESTING_FAKE_PLATFORM_SERVER_H_
