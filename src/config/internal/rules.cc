#include "config/internal/rules.h"

#include <algorithm>
#include <unordered_map>

#include "json/parse.h"

namespace anvildrum::config {
namespace {

using Owners = std::unordered_map<base::Endpoint, std::string>;

auto ServicePointer(const Service& service) -> std::string {
  return json::Child("/services", service.name);
}

auto AddressPointer(const Service& service, std::size_t index) -> std::string {
  return json::Child(json::Child(ServicePointer(service), "addresses"), std::to_string(index));
}

auto Violation(Rule rule, std::string pointer, std::string found) -> ConfigurationError {
  return {rule, Place::kDocument, std::move(pointer), std::move(found), {}};
}

auto IsUsable(const base::Endpoint& endpoint) -> bool {
  auto unspecified_v4 = base::EndpointFromV4(0, endpoint.port);
  auto unspecified_v6 = base::Endpoint{{}, endpoint.port};
  return endpoint.port != 0 && endpoint != unspecified_v4 && endpoint != unspecified_v6;
}

auto CheckService(const Service& service, Owners& owners) -> std::optional<ConfigurationError> {
  if (service.addresses.empty()) {
    return Violation(Rule::kNoAddress, ServicePointer(service) + "/addresses", service.name);
  }
  for (auto i = std::size_t{0}; i < service.addresses.size(); ++i) {
    const auto& address = service.addresses[i];
    auto text = base::FormatEndpoint(address);
    if (!IsUsable(address)) {
      return Violation(Rule::kUnusableAddress, AddressPointer(service, i), text);
    }
    auto [owner, added] = owners.emplace(address, service.name);
    if (!added) {
      return Violation(Rule::kAddressTaken, AddressPointer(service, i),
                       text + " of " + owner->second);
    }
  }
  return std::nullopt;
}

auto OwnersOf(const Configuration& configuration) -> Owners {
  auto owners = Owners{};
  for (const auto& service : configuration.services) {
    for (const auto& address : service.addresses) owners.emplace(address, service.name);
  }
  return owners;
}

using ServicesByName = std::unordered_map<std::string_view, const Service*>;
using TargetsByService = std::unordered_map<std::string_view, std::vector<const KnownTarget*>>;

auto IndexServices(const Configuration& configuration) -> ServicesByName {
  auto services = ServicesByName{};
  for (const auto& service : configuration.services) services.emplace(service.name, &service);
  return services;
}

// Targets that are not draining, by service.
auto IndexTargets(std::span<const KnownTarget> targets) -> TargetsByService {
  auto by_service = TargetsByService{};
  for (const auto& target : targets) {
    if (!target.draining) by_service[target.service].push_back(&target);
  }
  return by_service;
}

auto WeightOf(const Service& service, const std::string& target) -> double {
  for (const auto& weight : service.weights) {
    if (weight.target == target) return weight.weight;
  }
  return 1.0;
}

auto CanPlace(const Service& service, std::span<const KnownTarget* const> targets) -> bool {
  return std::any_of(targets.begin(), targets.end(), [&](const KnownTarget* target) {
    return WeightOf(service, target->name) > 0;
  });
}

}  // namespace

auto CheckAddresses(const Configuration& configuration) -> std::optional<ConfigurationError> {
  auto owners = Owners{};
  for (const auto& service : configuration.services) {
    auto fault = CheckService(service, owners);
    if (fault) return fault;
  }
  return std::nullopt;
}

auto CheckMoves(const Configuration& before, const Configuration& after)
    -> std::optional<ConfigurationError> {
  auto owners = OwnersOf(before);
  for (const auto& service : after.services) {
    for (auto i = std::size_t{0}; i < service.addresses.size(); ++i) {
      auto owner = owners.find(service.addresses[i]);
      if (owner == owners.end() || owner->second == service.name) continue;
      return Violation(Rule::kAddressMoved, AddressPointer(service, i),
                       base::FormatEndpoint(owner->first) + " of " + owner->second);
    }
  }
  return std::nullopt;
}

auto CheckPlacement(const Configuration& before, const Configuration& after,
                    std::span<const KnownTarget> targets) -> std::optional<ConfigurationError> {
  auto successors = IndexServices(after);
  auto by_service = IndexTargets(targets);
  for (const auto& service : before.services) {
    const auto& own = by_service[service.name];
    if (own.empty()) continue;
    auto successor = successors.find(service.name);
    if (successor == successors.end()) {
      return Violation(Rule::kServiceHasTargets, ServicePointer(service), service.name);
    }
    if (CanPlace(service, own) && !CanPlace(*successor->second, own)) {
      return Violation(Rule::kNowhereToPlace, ServicePointer(service) + "/weights", service.name);
    }
  }
  return std::nullopt;
}

}  // namespace anvildrum::config
