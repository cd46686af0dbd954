// What the users' platform and targets send: a datagram, a configuration, a heartbeat, answers of
// the store.
#include <cstdint>
#include <string>
#include <string_view>

#include "platform/documents.h"
#include "platform/packet_codec.h"
#include "platform/store_dialect.h"

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int {
  using namespace anvildrum;  // NOLINT(google-build-using-namespace)
  adapter::DecodePacket({data, size});
  const auto text = std::string_view{reinterpret_cast<const char*>(data), size};
  adapter::DecodeConfiguration(text);
  adapter::DecodeHeartbeat("i-1", text);
  const auto& dialect = adapter::StoreDialect();
  const auto answer = platform::HttpAnswer{200, "", std::string(text)};
  dialect.read_listing(dialect.list_page("agents", "", 1), answer);
  dialect.read_listing(dialect.watch("agents", 1, 1), answer);
  dialect.read_object(dialect.get("agents/a"), answer);
  return 0;
}
