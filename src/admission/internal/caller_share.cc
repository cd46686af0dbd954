#include "admission/caller_share.h"

namespace anvildrum::admission {

auto CountUse(CallerShare& /*share*/, std::uint32_t /*caller*/, base::TimePoint /*now*/) -> void {}

auto IsOverShare(CallerShare& /*share*/, std::uint32_t /*caller*/, base::TimePoint /*now*/)
    -> bool {
  return false;
}

}  // namespace anvildrum::admission
