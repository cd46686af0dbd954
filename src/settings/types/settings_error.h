#pragma once

#include "json/types/read_error.h"

namespace anvildrum::settings {

/// A fault of a settings file: kind, key and value. See json::ReadError.
using SettingsError = json::ReadError;
using SettingsErrorCode = json::ReadErrorCode;

}  // namespace anvildrum::settings
