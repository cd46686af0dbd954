// The body of a platform's answer to a list or a read.
#include <cstdint>

#include "platform/internal/http_call.h"

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int {
  using namespace anvildrum::platform;  // NOLINT(google-build-using-namespace)
  auto answer = HttpAnswer{200, "\"7\"", std::string(reinterpret_cast<const char*>(data), size)};
  ReadListing(ListCall(""), answer);
  ReadObject(GetCall("config"), answer);
  return 0;
}
