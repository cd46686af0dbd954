#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "base/result.h"
#include "json/types/read_error.h"

namespace anvildrum::json {

using Json = nlohmann::json;

/// Deepest nesting that is taken. Safeguard: copying, comparing and writing a document recurse, so
/// a megabyte of '[' would overflow the stack and end the process; our own documents need eight.
inline constexpr int kMaxDepth = 32;

enum class Comments { kRefused, kIgnored };

/// Reads a document. Errors: ReadError kNotJson, kTooDeep, kDuplicateKey.
auto Parse(std::string_view text, Comments comments) -> base::Result<Json>;

/// One line of English for a person: pointer or line, fault and value.
auto Describe(const ReadError& error) -> std::string;

/// The pointer of a member of the value at `pointer` (RFC 6901, section 3, escapes included).
auto Child(std::string_view pointer, std::string_view key) -> std::string;

}  // namespace anvildrum::json
