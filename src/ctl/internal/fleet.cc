#include "ctl/fleet.h"

#include <algorithm>

#include "ctl/internal/ask_each.h"
#include "ctl/internal/http_client.h"
#include "json/parse.h"
#include "membership/codec.h"

namespace anvildrum::ctl {
namespace {

using json::Json;

constexpr auto kStatusLimit = base::seconds(2);
constexpr auto kDrainLimit = base::seconds(5);

// The value of a record that this version can read.
template <typename Record>
auto Readable(base::Result<Record> (*parse)(std::string_view, std::uint64_t, std::string_view),
              const Object& object) -> std::optional<Record> {
  auto record = std::optional<Record>{};
  base::ErrorOf<membership::MembershipError>([&]() -> base::Result<void> {
    BOOST_LEAF_AUTO(read, parse(object.key, object.revision, object.value));
    record = std::move(read);
    return {};
  });
  return record;
}

auto FromRecord(const membership::BalancerRecord& record) -> Instance {
  return {"balancer", record.name, {}, record.failure_domain, record.operator_port, false};
}

auto FromRecord(const membership::TargetRecord& record) -> Instance {
  return {
      "agent",        record.name, record.service_name, record.failure_domain, record.operator_port,
      record.draining};
}

template <typename Value>
auto Optional(const Json& object, std::string_view key) -> std::optional<Value> {
  auto found = object.find(key);
  if (found == object.end()) return std::nullopt;
  if constexpr (std::is_same_v<Value, bool>) {
    if (!found->is_boolean()) return std::nullopt;
  } else {
    if (!found->is_number_unsigned()) return std::nullopt;
  }
  return found->template get<Value>();
}

auto Ask(const Instance& instance, const FetchStatus& fetch) -> InstanceReport {
  auto report = InstanceReport{instance, std::nullopt};
  base::ErrorOf<CtlError>([&]() -> base::Result<void> {
    BOOST_LEAF_AUTO(text, fetch(instance.operator_port));
    report.status = ReadStatus(text);
    return {};
  });
  return report;
}

}  // namespace

auto HttpFetchStatus() -> FetchStatus {
  return [](const base::Endpoint& port) {
    return FetchBody(port, HttpRequest{"GET", "/status", {}, {}}, kStatusLimit);
  };
}

auto PostDrain(const base::Endpoint& operator_port) -> base::Result<void> {
  BOOST_LEAF_CHECK(FetchBody(operator_port, HttpRequest{"POST", "/drain", {}, {}}, kDrainLimit));
  return {};
}

auto ListInstances(const ObjectStore& store) -> base::Result<std::vector<Instance>> {
  auto instances = std::vector<Instance>{};
  BOOST_LEAF_AUTO(balancers, store.list(membership::kBalancerPrefix));
  for (const auto& object : balancers) {
    auto record = Readable(membership::ParseBalancerRecord, object);
    if (record) instances.push_back(FromRecord(*record));
  }
  BOOST_LEAF_AUTO(targets, store.list(membership::kTargetPrefix));
  for (const auto& object : targets) {
    auto record = Readable(membership::ParseTargetRecord, object);
    if (record) instances.push_back(FromRecord(*record));
  }
  return instances;
}

auto ListTargets(const ObjectStore& store) -> base::Result<std::vector<config::KnownTarget>> {
  auto known = std::vector<config::KnownTarget>{};
  BOOST_LEAF_AUTO(targets, store.list(membership::kTargetPrefix));
  for (const auto& object : targets) {
    auto record = Readable(membership::ParseTargetRecord, object);
    if (record) known.push_back({record->service_name, record->name, record->draining});
  }
  return known;
}

auto AskInstances(std::span<const Instance> instances, const FetchStatus& fetch)
    -> std::vector<InstanceReport> {
  auto reports = std::vector<InstanceReport>(instances.size());
  AskEach(instances.size(), [&](std::size_t i) { reports[i] = Ask(instances[i], fetch); });
  return reports;
}

auto ReadStatus(std::string_view text) -> std::optional<InstanceStatus> {
  auto document = Json();
  auto refused = base::ErrorOf<json::ReadError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(document, json::Parse(text, json::Comments::kRefused));
    return {};
  });
  if (refused || !document.is_object()) return std::nullopt;
  return InstanceStatus{Optional<std::uint64_t>(document, "number"),
                        Optional<std::uint64_t>(document, "flows"),
                        Optional<bool>(document, "draining"), document.dump()};
}

auto FindTarget(std::span<const Instance> instances, std::string_view target)
    -> base::Result<Instance> {
  auto is_it = [&](const Instance& instance) {
    return instance.role == "agent" && instance.name == target;
  };
  auto count = std::count_if(instances.begin(), instances.end(), is_it);
  auto name = std::string(target);
  if (count == 0) return boost::leaf::new_error(CtlError{CtlErrorCode::kNoSuchTarget, name, 0});
  if (count > 1) return boost::leaf::new_error(CtlError{CtlErrorCode::kAmbiguous, name, 0});
  return *std::find_if(instances.begin(), instances.end(), is_it);
}

}  // namespace anvildrum::ctl
