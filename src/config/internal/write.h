#pragma once

#include "config/types/configuration.h"
#include "json/parse.h"

namespace anvildrum::config {

auto WriteRecord(const PatchRecord& record) -> json::Json;

}  // namespace anvildrum::config
