// An operator's patch against a small configuration.
#include "config/patch.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace {

constexpr auto kDocument = std::string_view{
    R"({"number":3,"services":{"desk":{"addresses":["10.0.0.1:5683"],"weights":{"d1":2}},)"
    R"("mapper":{"addresses":["10.0.0.2:5683"]}},"history":[]})"};

}  // namespace

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int {
  auto request = anvildrum::config::PatchRequest{};
  request.id = "p1";
  request.author = "fuzz";
  request.submitted_at = "2026-01-01T00:00:00Z";
  request.base = 3;
  request.patch.assign(reinterpret_cast<const char*>(data), size);
  auto targets = std::vector<anvildrum::config::KnownTarget>{{"desk", "d1", false}};
  auto result = anvildrum::config::ApplyPatch(kDocument, request, targets);
  static_cast<void>(result);
  return 0;
}
