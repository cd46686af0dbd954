#include <algorithm>

#include "steering/internal/directory_parts.h"

namespace anvildrum::steering {
namespace {

auto TargetOf(const PeerTarget& peer) -> base::TargetId { return peer.ref.target; }

auto RefAt(const Directory& directory, std::uint32_t index) -> std::optional<TargetRef> {
  if (index == kNone) return std::nullopt;
  if (index == directory.self_index) return directory.self;
  auto target = directory.candidates.candidates[index].target;
  return std::ranges::lower_bound(directory.peers, target, {}, TargetOf)->ref;
}

}  // namespace

auto FindPeer(Directory& directory, base::TargetId target) -> PeerTarget* {
  auto found = std::ranges::lower_bound(directory.peers, target, {}, TargetOf);
  if (found == directory.peers.end() || found->ref.target != target) return nullptr;
  return &*found;
}

auto FindPeer(Directory& directory, const TargetRef& ref) -> PeerTarget* {
  auto* peer = FindPeer(directory, ref.target);
  return peer != nullptr && peer->ref == ref ? peer : nullptr;
}

auto FindPeerByInstance(Directory& directory, base::InstanceId instance) -> PeerTarget* {
  auto found = std::ranges::find(directory.peers, instance, &PeerTarget::instance);
  return found == directory.peers.end() ? nullptr : &*found;
}

auto HomeOf(const Directory& directory, const base::FlowKey& flow) -> std::optional<TargetRef> {
  return RefAt(directory, FindFirstHome(directory.candidates, base::HashFlow(flow)));
}

auto ActingHomeOf(const Directory& directory, const base::FlowKey& flow)
    -> std::optional<TargetRef> {
  return RefAt(directory, FindActingHome(directory.candidates, base::HashFlow(flow)));
}

auto IsHome(const Directory& directory, const base::FlowKey& flow) -> bool {
  if (directory.self_index == kNone) return false;
  return FindFirstHome(directory.candidates, base::HashFlow(flow)) == directory.self_index;
}

auto FindOwned(Directory& directory, const base::FlowKey& flow) -> OwnedFlow* {
  auto found = directory.owned.find(flow);
  return found == directory.owned.end() ? nullptr : &found->second;
}

}  // namespace anvildrum::steering
