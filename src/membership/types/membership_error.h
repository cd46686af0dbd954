#pragma once

#include <string>

#include "json/types/read_error.h"

namespace anvildrum::membership {

enum class MembershipErrorCode {
  kBadKey,     ///< not "targets/SERVICE/NAME" or "balancers/NAME"
  kBadRecord,  ///< the value is not a record; `shape` has the reason
};

struct MembershipError {
  MembershipErrorCode code = MembershipErrorCode::kBadRecord;
  std::string key;        ///< the object's key at the platform
  json::ReadError shape;  ///< for kBadRecord
};

}  // namespace anvildrum::membership
