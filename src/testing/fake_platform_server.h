#ifndef SRC_TESTING_FAKE_PLATFORM_SERVER_H_
#define SRC_TESTING_FAKE_PLATFORM_SERVER_H_

#include <string>

#include "runtime/http_listener.h"
#include "testing/fake_platform.h"

namespace wasabihook::testing {

// Serves a FakePlatform over the platform protocol, and its control API
// (docs/fake-platform.md).
class FakePlatformServer {
 public:
  // `platform` outlives the server. Throws std::runtime_error if `address`
  // ("ip:port", port 0 takes a free one) cannot be bound.
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
