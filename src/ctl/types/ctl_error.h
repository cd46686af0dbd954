#pragma once

#include <string>

#include "base/types/endpoint.h"

namespace anvildrum::ctl {

enum class CtlErrorCode {
  kUnreachable,   ///< no connection: the call was never made
  kNoAnswer,      ///< sent, but no whole answer: the call may have taken effect
  kServerError,   ///< an answer that is neither success nor a known refusal; may have taken effect
  kBadAnswer,     ///< an answer that isn't what the API promises
  kForgotten,     ///< the patch's base is older than the patches that are remembered
  kNotReadable,   ///< a file can't be read
  kNoSuchTarget,  ///< no target of that name is announced
  kAmbiguous,     ///< more than one target of that name is announced
};

/// Why a command could not do its work. What a rule refuses is a config::PatchRefusal instead.
struct CtlError {
  CtlErrorCode code = CtlErrorCode::kUnreachable;
  std::string subject;  ///< address, key, file or name
  int status = 0;       ///< HTTP status, for kServerError
};

}  // namespace anvildrum::ctl
