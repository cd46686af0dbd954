#pragma once

#include <string>
#include <vector>

#include "base/types/endpoint.h"

namespace anvildrum::ctl {

/// Appends the address that `text` gives as IP:PORT. False where it is none.
auto AppendEndpoint(const std::string& text, std::vector<base::Endpoint>& out) -> bool;

}  // namespace anvildrum::ctl
