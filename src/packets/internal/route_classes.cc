#include "packets/route_classes.h"

#include <algorithm>
#include <cstddef>
#include <limits>
#include <string>
#include <tuple>
#include <utility>

namespace anvildrum::packets {
namespace {

struct ClassedRoute {
  admission::RequestClass request_class;
  std::uint64_t route = 0;
};

// Upper bounds of the encoded sizes in bytes: a part without its groups, a group without its
// routes, and a route. The routes of a group need a length of two bytes, and times of up to one
// hour four bytes.
constexpr auto kPartBytes = std::size_t{40};
constexpr auto kGroupBytes = std::size_t{21};
constexpr auto kRouteBytes = std::size_t{8};
constexpr auto kMaxPartBytes = std::size_t{1300};

auto OrderOf(const ClassedRoute& classed) {
  const auto& request = classed.request_class;
  return std::tuple{request.priority, request.objective, request.timeout, request.repeatable,
                    classed.route};
}

// Builds the parts of a set from routes in the order of OrderOf. A part ends at kRoutesInPart
// routes, or earlier if many classes fill its datagram.
class PartsBuilder {
 public:
  auto Add(const ClassedRoute& classed) -> bool {
    const auto starts_group =
        this->groups.empty() || this->groups.back().request_class != classed.request_class;
    const auto size = kRouteBytes + (starts_group ? kGroupBytes : 0);
    if (this->routes == kRoutesInPart || this->bytes + size >= kMaxPartBytes) {
      if (this->parts.size() + 1 == kMaxClassParts) return false;
      this->EndPart();
      return this->Add(classed);
    }
    if (starts_group) this->groups.push_back({classed.request_class, {}});
    this->groups.back().routes.push_back(classed.route);
    this->bytes += size;
    ++this->routes;
    return true;
  }

  auto Finish() -> std::vector<RouteClassesPart> {
    this->EndPart();
    return std::move(this->parts);
  }

 private:
  auto EndPart() -> void {
    auto part = RouteClassesPart{};
    part.groups = std::exchange(this->groups, {});
    this->parts.push_back(std::move(part));
    this->bytes = kPartBytes;
    this->routes = 0;
  }

  std::vector<RouteClassesPart> parts;
  std::vector<RouteGroup> groups;  // of the part in progress
  std::size_t bytes = kPartBytes;
  std::size_t routes = 0;
};

auto MakeParts(base::ServiceId service, std::uint64_t version, std::vector<ClassedRoute> routes)
    -> ServiceClasses {
  std::sort(routes.begin(), routes.end(),
            [](const ClassedRoute& a, const ClassedRoute& b) { return OrderOf(a) < OrderOf(b); });
  auto builder = PartsBuilder{};
  for (const auto& route : routes) {
    if (!builder.Add(route)) break;
  }
  auto classes = ServiceClasses{.digest = 0, .parts = builder.Finish()};
  auto all = std::vector<RouteGroup>{};
  for (const auto& part : classes.parts) {
    all.insert(all.end(), part.groups.begin(), part.groups.end());
  }
  classes.digest = DigestOf(all);
  for (auto i = std::size_t{0}; i < classes.parts.size(); ++i) {
    auto& part = classes.parts[i];
    part.service = service;
    part.version = version;
    part.digest = classes.digest;
    part.part = static_cast<std::uint32_t>(i);
    part.parts = static_cast<std::uint32_t>(classes.parts.size());
  }
  return classes;
}

// Appends the number's bytes, lowest first, on every machine.
auto Append(std::string& text, std::uint64_t number) -> void {
  constexpr auto bits = 8U;
  for (auto i = std::size_t{0}; i < sizeof(number); ++i) {
    text.push_back(static_cast<char>(number & std::numeric_limits<std::uint8_t>::max()));
    number >>= bits;
  }
}

auto Append(std::string& text, base::Duration duration) -> void {
  Append(text, static_cast<std::uint64_t>(duration / base::milliseconds{1}));
}

}  // namespace

auto MakeServiceClasses(const Routes& routes) -> ClassesByService {
  auto by_service = std::unordered_map<base::ServiceId, std::vector<ClassedRoute>>{};
  for (const auto& [route, request_class] : routes.classes) {
    const auto shares = routes.shares.find(route);
    if (!request_class.known || shares == routes.shares.end()) continue;
    for (const auto& share : shares->second) {
      if (share.weight != 0) by_service[share.service].push_back({request_class, route});
    }
  }
  auto classes = ClassesByService{};
  for (auto& [service, classed] : by_service) {
    classes[service] = MakeParts(service, routes.version, std::move(classed));
  }
  return classes;
}

auto DigestOf(std::span<const RouteGroup> groups) -> std::uint32_t {
  auto text = std::string{};
  for (const auto& group : groups) {
    const auto& request = group.request_class;
    for (const auto route : group.routes) {
      Append(text, request.priority);
      Append(text, request.objective);
      Append(text, request.timeout);
      Append(text, request.repeatable ? std::uint64_t{1} : std::uint64_t{0});
      Append(text, route);
    }
  }
  return static_cast<std::uint32_t>(base::HashName(text)) | 1U;
}

auto DigestOfNoClasses() -> std::uint32_t {
  static const auto digest = DigestOf({});
  return digest;
}

}  // namespace anvildrum::packets
