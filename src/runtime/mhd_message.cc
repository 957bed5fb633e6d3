#include "runtime/mhd_message.h"

#include <string>
#include <utility>

namespace wasabihook {
namespace {

void FreeString(void* text) {
  delete static_cast<std::string*>(text);
}

}  // namespace

MHD_Result AppendKeyValue(void* into,
                          MHD_ValueKind /*kind*/,
                          const char* key,
                          size_t key_size,
                          const char* value,
                          size_t value_size) {
  static_cast<HttpHeaders*>(into)->emplace_back(
      std::string(key, key_size),
      value == nullptr ? std::string() : std::string(value, value_size));
  return MHD_YES;
}

MHD_Response* MakeMhdResponse(HttpResponse&& response, bool close) {
  auto* body = new std::string(std::move(response.body));
  MHD_Response* mhd_response =
      MHD_create_response_from_buffer_with_free_callback_cls(
          body->size(), body->data(), &FreeString, body);
  if (mhd_response == nullptr) {
    delete body;
    return nullptr;
  }
  MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONTENT_TYPE,
                          response.content_type.c_str());
  for (const auto& [name, value] : response.headers)
    MHD_add_response_header(mhd_response, name.c_str(), value.c_str());
  if (close)
    MHD_add_response_header(mhd_response, MHD_HTTP_HEADER_CONNECTION, "close");
  return mhd_response;
}

}  // namespace wasabihook
