#pragma once

#include <deque>
#include <map>
#include <string>

#include "ctl/object_store.h"

namespace anvildrum::ctl {

/// What happens to the next write.
enum class WriteFault {
  kNone,
  kRefusedConnection,  ///< never sent
  kLostAnswer,         ///< takes effect, and the answer is lost
  kLostRequest,        ///< no effect, no answer
  kFalseConflict,      ///< takes effect and is answered as a conflict
  kRaced,              ///< `racer` is written first, so that the write conflicts
  kThenDown,           ///< takes effect, is answered, and the platform goes down
};

/// A platform in memory with faults in turn.
struct FakePlatform {
  std::map<std::string, Object, std::less<>> objects;
  std::deque<WriteFault> faults;
  std::string racer;
  std::uint64_t revision = 0;
  int writes_that_took = 0;
  bool down = false;

  auto Set(std::string_view key, std::string_view value) -> void;
  auto Store() -> ObjectStore;
};

}  // namespace anvildrum::ctl
