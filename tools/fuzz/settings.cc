// A settings file: anything at all may stand in it.
#include "settings/settings.h"

#include <cstdint>
#include <string_view>

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int {
  anvildrum::settings::ParseSettings({reinterpret_cast<const char*>(data), size});
  return 0;
}
