#ifndef SRC_RUNTIME_MHD_MESSAGE_H_
#define SRC_RUNTIME_MHD_MESSAGE_H_

// PRIVATE HEADER. Conversion between libmicrohttpd types and HttpRequest and
// HttpResponse.

#include <microhttpd.h>

#include <cstddef>

#include "runtime/http_listener.h"

namespace wasabihook {

// MHD_KeyValueIteratorN that appends to the HttpHeaders object `into`.
MHD_Result AppendKeyValue(void* into,
                          MHD_ValueKind kind,
                          const char* key,
                          size_t key_size,
                          const char* value,
                          size_t value_size);

// Returns null if out of memory. With `close` the connection is closed after
// the response.
MHD_Response* MakeMhdResponse(HttpResponse&& response, bool close);

}  // namespace wasabihook

#endif  // SRC_RUNTIME_MHD_MESSAGE_H_
