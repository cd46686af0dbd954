#include "platform_standin/faults.h"

#include <nlohmann/json.hpp>

namespace anvildrum::platform_standin {
namespace {

using Json = nlohmann::json;

auto Read(const Json& value, bool& member) -> bool {
  if (!value.is_boolean()) return false;
  member = value.get<bool>();
  return true;
}

template <typename Number>
auto Read(const Json& value, Number& member) -> bool {
  if (!value.is_number_unsigned()) return false;
  member = value.get<Number>();
  return true;
}

auto ReadMember(const std::string& name, const Json& value, Faults& faults) -> bool {
  if (name == "down") return Read(value, faults.down);
  if (name == "delay_ms") return Read(value, faults.delay_ms);
  if (name == "hang_watches") return Read(value, faults.hang_watches);
  if (name == "lose_answers") return Read(value, faults.lose_answers);
  if (name == "error_500") return Read(value, faults.error_500);
  if (name == "half_body") return Read(value, faults.half_body);
  if (name == "stale_reads_revisions") return Read(value, faults.stale_reads_revisions);
  if (name == "conflict_after_write") return Read(value, faults.conflict_after_write);
  return false;
}

}  // namespace

auto UpdateFaults(Faults& faults, std::string_view json) -> bool {
  auto document = Json::parse(json, nullptr, false);
  if (!document.is_object()) return false;
  auto updated = faults;
  for (const auto& [name, value] : document.items()) {
    if (!ReadMember(name, value, updated)) return false;
  }
  faults = updated;
  return true;
}

auto Strike(std::uint32_t& counter) -> bool {
  if (counter == 0) return false;
  --counter;
  return true;
}

}  // namespace anvildrum::platform_standin
