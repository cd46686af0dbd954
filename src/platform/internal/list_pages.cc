#include <algorithm>
#include <iterator>
#include <utility>

#include "platform/internal/http_call.h"

namespace anvildrum::platform {

// Pages are read one after the other, and what changes between them is told by the watch that goes
// on from the first one's revision: nothing is lost, and some of it is heard twice.
//
// Safeguard: a replica that lags answers a later page. It lacks what was made since, and the list
// as a whole would say that those objects are gone: live targets would lose their flows. A page
// that is older than the first one is refused, and the list begins anew. So is one that does not
// lead on, which would be asked for without end.
auto JoinPage(Listing whole, Listing page) -> std::optional<Listing> {
  auto first = whole.next.empty();
  if (first) return page;
  if (page.revision < whole.revision) return std::nullopt;
  if (!page.next.empty() && page.next <= whole.next) return std::nullopt;
  std::move(page.items.begin(), page.items.end(), std::back_inserter(whole.items));
  whole.unreadable += page.unreadable;
  whole.next = std::move(page.next);
  return whole;
}

}  // namespace anvildrum::platform
