#include "packets/internal/agent_classes.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "packets/internal/agent_peers.h"

namespace anvildrum::packets {
namespace {

// A hello that offers the classes of the agent's service.
struct Offer {
  Address balancer = 0;
  std::uint32_t digest = 0;
  std::uint64_t version = 0;
};

// Whether the last hello of any balancer, if still valid, announces the digest.
auto IsAnnounced(const Agent& agent, std::uint32_t digest, base::TimePoint now) -> bool {
  return std::any_of(agent.balancers.begin(), agent.balancers.end(), [&](const auto& entry) {
    return entry.second.said.classes_digest == digest && IsFresh(agent, entry.second, now);
  });
}

auto DropOlderRequest(KnownClasses& known) -> void {
  if (known.wanted && known.wanted->version <= known.version) known.wanted.reset();
}

// Requests the offered set, unless another request is in progress that the offer does not replace.
auto Request(Agent& agent, const Offer& offer, base::TimePoint now) -> void {
  auto& wanted = agent.route_classes.wanted;
  const auto repeat_at = now + agent.policy.class_request_timeout;
  const auto waits = wanted && now < wanted->repeat_at;
  if (wanted && wanted->digest == offer.digest) {
    wanted->version = std::max(wanted->version, offer.version);
    if (waits) return;
    wanted->balancer = offer.balancer;
    wanted->asked = false;
    wanted->repeat_at = repeat_at;
    return;
  }
  if (waits && offer.version <= wanted->version) return;
  // Where balancers announce two versions and a part was lost, a request for the lower one would
  // discard the parts received of the higher one.
  const auto lower = wanted && offer.version < wanted->version;
  if (lower && IsAnnounced(agent, wanted->digest, now)) return;
  wanted = WantedClasses{.digest = offer.digest,
                         .version = offer.version,
                         .balancer = offer.balancer,
                         .repeat_at = repeat_at};
}

// Stores the part. Returns all groups once every part has been received.
auto AddPart(WantedClasses& wanted, const RouteClassesPart& part)
    -> std::optional<std::vector<RouteGroup>> {
  if (wanted.parts.size() != part.parts) wanted.parts.assign(part.parts, std::nullopt);
  wanted.version = std::max(wanted.version, part.version);
  wanted.parts[part.part] = part.groups;
  auto groups = std::vector<RouteGroup>{};
  for (const auto& received : wanted.parts) {
    if (!received) return std::nullopt;
    groups.insert(groups.end(), received->begin(), received->end());
  }
  return groups;
}

auto ByRoute(const std::vector<RouteGroup>& groups)
    -> std::unordered_map<std::uint64_t, admission::RequestClass> {
  auto classes = std::unordered_map<std::uint64_t, admission::RequestClass>{};
  for (const auto& group : groups) {
    for (const auto route : group.routes) classes[route] = group.request_class;
  }
  return classes;
}

}  // namespace

auto NoteClassesOffer(Agent& agent, Address balancer, const Hello& hello, base::TimePoint now)
    -> void {
  auto& known = agent.route_classes;
  const auto offer = Offer{balancer, hello.classes_digest, hello.classes_version};
  if (offer.digest == 0 || offer.version < known.version) return;
  if (offer.digest == known.digest) {
    known.version = offer.version;
    return DropOlderRequest(known);
  }
  const auto equal = known.digest != 0 && offer.version == known.version;
  if (equal && IsAnnounced(agent, known.digest, now)) return;
  if (offer.digest != DigestOfNoClasses()) return Request(agent, offer, now);
  known.classes = {};
  known.digest = offer.digest;
  known.version = offer.version;
  DropOlderRequest(known);
}

auto TakeRequestFor(Agent& agent, Address balancer) -> std::uint32_t {
  auto& wanted = agent.route_classes.wanted;
  if (!wanted || wanted->asked || wanted->balancer != balancer) return 0;
  wanted->asked = true;
  return wanted->digest;
}

auto TakeRouteClasses(Agent& agent, const RouteClassesPart& part, base::TimePoint now) -> bool {
  auto& known = agent.route_classes;
  const auto requested = known.wanted && known.wanted->digest == part.digest;
  if (part.service != agent.service || !requested) return false;
  const auto groups = AddPart(*known.wanted, part);
  if (!groups) return false;
  if (DigestOf(*groups) != part.digest) {
    known.wanted->parts.clear();
    known.wanted->repeat_at = now + agent.policy.class_mismatch_pause;
    return false;
  }
  known.classes = ByRoute(*groups);
  known.digest = part.digest;
  known.version = known.wanted->version;
  known.wanted.reset();
  return true;
}

auto ClassOf(const Agent& agent, const End& route) -> admission::RequestClass {
  const auto& classes = agent.route_classes.classes;
  const auto entry = classes.find(KeyOf(route));
  return entry == classes.end() ? admission::RequestClass{} : entry->second;
}

}  // namespace anvildrum::packets
