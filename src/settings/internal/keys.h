#pragma once

#include <vector>

#include "json/reader.h"
#include "settings/types/settings.h"

namespace anvildrum::settings {

/// A list of one to four keys of 32 hexadecimal digits. Errors: kNotAKey.
auto TakeTunnelKeys(const json::Cursor& at, wire::KeyRing& ring) -> void;

/// A list of up to four CURVE key pairs; only `may_be_empty` allows none. Errors: kNotAKey.
auto TakeRelayKeys(const json::Cursor& at, bool may_be_empty, std::vector<RelayKey>& keys) -> void;

}  // namespace anvildrum::settings
