#pragma once

#include <cstdint>
#include <string>

#include "platform/call_budget.h"

namespace anvildrum::platform {

enum class HttpMethod : std::uint8_t { kGet, kPost, kPut, kDelete };

/// A call as HTTP: method, target and conditions (RFC 9110, 13.1).
struct HttpCall {
  CallKind kind = CallKind::kGet;
  std::string key;     ///< key or prefix, for errors
  std::string target;  ///< path and query, percent-encoded
  std::string if_match;
  std::string if_none_match;
  std::string body;
  HttpMethod method = HttpMethod::kGet;
};

struct HttpAnswer {
  unsigned status = 0;
  std::string etag;
  std::string body;
};

}  // namespace anvildrum::platform
