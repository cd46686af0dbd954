// An agent's record as another writer may have left it: its value, and its key.
#include <cstdint>
#include <string_view>

#include "packetd/record.h"

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int {
  using namespace anvildrum;  // NOLINT(google-build-using-namespace)
  const auto text = std::string_view{reinterpret_cast<const char*>(data), size};
  const auto record = packetd::DecodeRecord(text);
  if (record && packetd::DecodeRecord(packetd::EncodeRecord(*record))->agent != record->agent) {
    __builtin_trap();
  }
  packetd::AgentOfKey(text);
  return 0;
}
