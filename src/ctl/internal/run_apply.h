#pragma once

#include "base/result.h"
#include "base/types/time.h"
#include "ctl/run.h"
#include "ctl/types/command.h"

namespace anvildrum::ctl {

/// `anvilctl apply`. Errors: CtlError.
auto RunApply(const ApplyCommand& command, base::Duration wait_limit, Edge& edge)
    -> base::Result<int>;

}  // namespace anvildrum::ctl
