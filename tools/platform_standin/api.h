#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "platform_standin/faults.h"
#include "platform_standin/store.h"

namespace anvildrum::platform_standin {

/// Calls that were taken, by kind.
struct CallCounts {
  std::uint64_t get = 0;
  std::uint64_t put = 0;
  std::uint64_t remove = 0;
  std::uint64_t list = 0;
  std::uint64_t watch = 0;
  std::uint64_t malformed = 0;
  std::uint64_t waiting_watches = 0;  ///< held at this moment
};

/// The whole platform without its sockets.
struct Platform {
  Store store;
  Faults faults;
  CallCounts counts;
};

/// A request's parts that the API looks at.
struct Request {
  std::string method;
  std::string target;  ///< path and query as sent
  std::string if_match;
  std::string if_none_match;
  std::string body;
};

enum class Delivery {
  kWhole,
  kHalf,   ///< cut off in the middle of the body
  kClose,  ///< connection closed without an answer
};

struct Answer {
  unsigned status = 200;
  std::uint64_t etag = 0;  ///< 0: none
  std::string body;
  Delivery delivery = Delivery::kWhole;
};

/// A watch that waits for a change.
struct HeldWatch {
  std::string prefix;
  std::uint64_t after = 0;
  std::uint32_t timeout_ms = 0;
};

/// What a call comes to: an answer, or a watch to be held when `held` is set.
struct Handled {
  Answer answer;
  std::optional<HeldWatch> held = {};
  bool control = false;  ///< a call of the stand-in's own, which no fault touches
};

/// One call of the object API, or of the stand-in's own /v1/faults and /v1/counts.
auto Handle(Platform& platform, const Request& request) -> Handled;

/// The answer of a held watch, or nothing while it has to wait on. `timed_out`: its time is over.
auto AnswerWatch(Platform& platform, const HeldWatch& watch, bool timed_out)
    -> std::optional<Answer>;

}  // namespace anvildrum::platform_standin
