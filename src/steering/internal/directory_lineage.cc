// The history of a flow's hand-overs.
#include "steering/internal/directory_parts.h"

namespace anvildrum::steering {
namespace {

// A home that missed more hand-overs than this still knows the flow's opening.
constexpr auto kMaxPrevious = std::size_t{8};

}  // namespace

auto ExtendLineage(Lineage& lineage, const TargetRef& self) -> void {
  ++lineage.hand_overs;
  lineage.previous.push_back(self);
  if (lineage.previous.size() > kMaxPrevious) lineage.previous.erase(lineage.previous.begin());
}

auto WriteLineage(const Lineage& lineage, wire::pb::Lineage& message) -> void {
  WriteRef(lineage.opener, *message.mutable_opener());
  message.set_stamp(lineage.stamp);
  message.set_hand_overs(lineage.hand_overs);
  for (const auto& owner : lineage.previous) WriteRef(owner, *message.add_previous());
}

auto ReadLineage(const wire::pb::Lineage& message) -> Lineage {
  auto lineage = Lineage{ReadRef(message.opener()), message.stamp(), message.hand_overs(), {}};
  for (const auto& owner : message.previous()) lineage.previous.push_back(ReadRef(owner));
  return lineage;
}

}  // namespace anvildrum::steering
