#pragma once

#include <cstddef>

namespace anvildrum::requests {

enum class RequestErrorCode {
  kTruncated,   ///< shorter than the fixed header of RFC 7252, 3
  kBadVersion,  ///< a version other than 1, which is ignored without an answer (RFC 7252, 3)
  kMalformed,   ///< token, option or payload violates the format of RFC 7252, 3
  kTooLarge,    ///< larger than the largest datagram that is parsed
};

struct RequestError {
  RequestErrorCode code = RequestErrorCode::kMalformed;
  std::size_t size = 0;  ///< bytes of the rejected datagram
};

}  // namespace anvildrum::requests
