#include <sstream>

#include "json/parse.h"

namespace anvildrum::json {
namespace {

auto Fault(const ReadError& error) -> std::string {
  switch (error.code) {
    case ReadErrorCode::kNotReadable:
      return "can't be read";
    case ReadErrorCode::kNotJson:
      return "is not JSON";
    case ReadErrorCode::kTooDeep:
      return "is nested too deep";
    case ReadErrorCode::kDuplicateKey:
      return "is given twice";
    case ReadErrorCode::kUnknownKey:
      return "is not a known key";
    case ReadErrorCode::kMissingKey:
      return "is missing";
    case ReadErrorCode::kWrongType:
      return "has the wrong type";
    case ReadErrorCode::kOutOfRange:
      return "is out of range";
    case ReadErrorCode::kNotAnEndpoint:
      return "is not IP:PORT with an IP number";
    case ReadErrorCode::kNotAName:
      return "is not a name (1 to 63 of a-z, 0-9, '-', '_', '.')";
    case ReadErrorCode::kNotAKey:
      return "is not a key";
    case ReadErrorCode::kNotAChoice:
      return "is not a known value";
  }
  return "is at fault";
}

}  // namespace

auto Describe(const ReadError& error) -> std::string {
  auto out = std::ostringstream{};
  if (error.line > 0) out << "line " << error.line << ": ";
  out << (error.pointer.empty() ? "the document" : error.pointer) << ' ' << Fault(error);
  if (error.code == ReadErrorCode::kOutOfRange) {
    out << " (" << error.range.least << " to " << error.range.most << ')';
  }
  if (!error.expected.empty()) out << ", expected " << error.expected;
  if (!error.found.empty()) out << ", found " << error.found;
  return out.str();
}

}  // namespace anvildrum::json
