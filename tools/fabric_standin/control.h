#pragma once

#include <string>
#include <string_view>

#include "tools/fabric_standin/fabric.h"

namespace anvildrum::fabric {

/// Why a control message was refused.
enum class ControlErrorCode { kNotJson, kUnknownAction, kUnknownBalancer, kBadValue };

struct ControlError {
  ControlErrorCode code = ControlErrorCode::kNotJson;
  std::string pointer;  ///< JSON pointer of the member at fault
};

/// Carries out one control message, a JSON object whose "do" is one of remove, add, cut, heal (with
/// "balancer"), drop, duplicate (with "percent"), reorder ("percent", "ms"), delay ("client_ms",
/// "balancer_ms") and counts; "add" takes the addresses of a new balancer by service name in
/// "addresses". Returns the JSON to answer with; its "ok" says whether the message was carried out,
/// and a refused message changes nothing.
auto HandleControl(Fabric& fabric, std::string_view message) -> std::string;

}  // namespace anvildrum::fabric
