#include "packets/types/search.h"

namespace anvildrum::packets {

auto NameOf(SearchFailure failure) -> std::string_view {
  switch (failure) {
    case SearchFailure::kNoTarget:
      return "no target known";
    case SearchFailure::kNoAnswer:
      return "not found, an agent did not answer";
    case SearchFailure::kUnsettled:
      return "not found, agents not settled";
    case SearchFailure::kAgentMissing:
      return "not found, an agent is away";
    case SearchFailure::kNoData:
      return "not found, no data";
    case SearchFailure::kMayBeHeld:
      return "not found, a target may hold it";
    case SearchFailure::kRecordsUnread:
      return "not found, agents' records not read";
    case SearchFailure::kOtherService:
      return "not found, another service may hold it";
  }
  return "unknown";
}

}  // namespace anvildrum::packets
