#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace anvildrum::json {

enum class ReadErrorCode {
  kNotReadable,    ///< the file can't be read
  kNotJson,        ///< a syntax error; `line` says where
  kTooDeep,        ///< nested deeper than kMaxDepth
  kDuplicateKey,   ///< a key given twice in one object
  kUnknownKey,     ///< a key that this object doesn't have
  kMissingKey,     ///< a key that has no default
  kWrongType,      ///< `expected` says which type
  kOutOfRange,     ///< outside `range`: a number, a count of items or a length of text
  kNotAnEndpoint,  ///< not "IP:PORT" with an IP number
  kNotAName,       ///< not 1 to 63 of a-z, 0-9, '-', '_' and '.', or starting with none of a-z, 0-9
  kNotAKey,        ///< not a key in the form that `expected` names
  kNotAChoice,     ///< a word that is none of the known ones; `expected` lists them
};

/// Inclusive bounds.
struct Range {
  double least = 0;
  double most = 0;
};

/// One fault of a document.
struct ReadError {
  ReadErrorCode code = ReadErrorCode::kNotJson;
  std::string pointer;   ///< JSON pointer (RFC 6901) of the value at fault; "" is the document
  std::string found;     ///< the refused value, never a secret
  std::string expected;  ///< what would have been taken, where the code doesn't say
  Range range;           ///< for kOutOfRange
  std::size_t line = 0;  ///< from 1; 0 where it isn't known
};

}  // namespace anvildrum::json
