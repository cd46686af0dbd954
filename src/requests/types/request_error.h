#pragma once

#include <cstddef>

namespace anvildrum::requests {

enum class RequestErrorCode {
  kTruncated,   ///< shorter than the fixed header of RFC 7252, 3
  kBadVersion,  ///< a version other than 1: to be ignored without an answer (RFC 7252, 3)
  kMalformed,   ///< token, option or payload against the format of RFC 7252, 3
  kTooLarge,    ///< over the largest datagram that is parsed
};

struct RequestError {
  RequestErrorCode code = RequestErrorCode::kMalformed;
  std::size_t size = 0;  ///< bytes of the datagram at fault
};

}  // namespace anvildrum::requests
