#include "ctl/run.h"

#include <ostream>

#include "config/configuration.h"
#include "ctl/apply.h"
#include "ctl/exit_code.h"
#include "ctl/internal/run_apply.h"
#include "ctl/render.h"
#include "ctl/versions.h"
#include "settings/settings.h"

namespace anvildrum::ctl {
namespace {

auto ExitCodeOf(const CtlError& error) -> int {
  switch (error.code) {
    case CtlErrorCode::kNoSuchTarget:
      return kRefused;
    case CtlErrorCode::kAmbiguous:
    case CtlErrorCode::kNotReadable:
      return kUsage;
    default:
      return kPlatformUnreachable;
  }
}

auto Failed(const CtlError& error, Edge& edge) -> int {
  edge.err << "anvilctl: " << Describe(error) << '\n';
  return ExitCodeOf(error);
}

auto ReadDocument(const Edge& edge) -> base::Result<std::string> {
  BOOST_LEAF_AUTO(object, edge.store.get(kConfigKey));
  return object ? object->value : std::string(config::kEmptyDocument);
}

auto NumberOf(std::string_view document) -> std::optional<std::uint64_t> {
  auto number = std::optional<std::uint64_t>{};
  base::ErrorOf<config::ConfigurationError>([&]() -> base::Result<void> {
    BOOST_LEAF_AUTO(configuration, config::ParseConfiguration(document));
    number = configuration.number;
    return {};
  });
  return number;
}

auto NamedInstances(std::span<const base::Endpoint> operators) -> std::vector<Instance> {
  auto instances = std::vector<Instance>{};
  for (const auto& port : operators) instances.push_back({{}, {}, {}, {}, port, false});
  return instances;
}

auto AllReachable(std::span<const InstanceReport> reports) -> bool {
  for (const auto& report : reports) {
    if (!report.status) return false;
  }
  return true;
}

auto RunStatus(const StatusCommand& command, const Invocation& invocation, Edge& edge)
    -> base::Result<int> {
  auto instances = NamedInstances(invocation.operators);
  auto number = std::optional<std::uint64_t>{};
  if (instances.empty()) {
    BOOST_LEAF_AUTO(document, ReadDocument(edge));
    number = NumberOf(document);
    BOOST_LEAF_ASSIGN(instances, ListInstances(edge.store));
  }
  auto reports = AskInstances(instances, edge.fetch_status);
  edge.out << (command.as_json ? StatusJson(reports, number) : StatusTable(reports, number));
  return AllReachable(reports) ? kDone : kIncomplete;
}

auto RunGet(Edge& edge) -> base::Result<int> {
  BOOST_LEAF_AUTO(document, ReadDocument(edge));
  edge.out << Indented(document);
  return kDone;
}

auto RunHistory(Edge& edge) -> base::Result<int> {
  BOOST_LEAF_AUTO(document, ReadDocument(edge));
  edge.out << HistoryText(document);
  return kDone;
}

auto DrainOne(const Instance& instance, Edge& edge) -> int {
  auto failure = base::ErrorOf<CtlError>([&] { return edge.post_drain(instance.operator_port); });
  if (!failure) {
    edge.out << "draining " << NameOf(instance) << '\n';
    return kDone;
  }
  edge.err << "anvilctl: " << NameOf(instance) << ": " << Describe(*failure) << '\n';
  return kIncomplete;
}

auto RunDrain(const DrainCommand& command, const Invocation& invocation, Edge& edge)
    -> base::Result<int> {
  auto instances = NamedInstances(invocation.operators);
  if (!instances.empty()) {
    auto instance = instances.front();
    instance.role = "agent";
    instance.name = command.target;
    return DrainOne(instance, edge);
  }
  BOOST_LEAF_ASSIGN(instances, ListInstances(edge.store));
  BOOST_LEAF_AUTO(instance, FindTarget(instances, command.target));
  return DrainOne(instance, edge);
}

auto RunCheck(const CheckCommand& command, Edge& edge) -> int {
  auto result = settings::LoadSettings(command.file);
  const auto* errors = std::get_if<std::vector<settings::SettingsError>>(&result);
  if (errors == nullptr) {
    edge.out << command.file << ": ok\n";
    return kDone;
  }
  for (const auto& error : *errors) {
    edge.err << command.file << ": " << settings::DescribeError(error) << '\n';
  }
  auto unreadable = errors->front().code == settings::SettingsErrorCode::kNotReadable;
  return unreadable ? kUsage : kRefused;
}

auto RunVersions(const VersionsCommand& command, Edge& edge) -> base::Result<int> {
  BOOST_LEAF_AUTO(balancers, ReadAddresses(command.file));
  const auto versions = AskVersions(balancers, edge.fetch_metrics);
  edge.out << VersionsText(versions, command.most);
  return LateBalancers(versions).empty() ? kDone : kIncomplete;
}

struct Runner {
  const Invocation& invocation;
  Edge& edge;

  auto operator()(const StatusCommand& command) const -> base::Result<int> {
    return RunStatus(command, this->invocation, this->edge);
  }
  auto operator()(const GetCommand&) const -> base::Result<int> { return RunGet(this->edge); }
  auto operator()(const HistoryCommand&) const -> base::Result<int> {
    return RunHistory(this->edge);
  }
  auto operator()(const ApplyCommand& command) const -> base::Result<int> {
    return RunApply(command, this->invocation.wait_limit, this->edge);
  }
  auto operator()(const DrainCommand& command) const -> base::Result<int> {
    return RunDrain(command, this->invocation, this->edge);
  }
  auto operator()(const CheckCommand& command) const -> base::Result<int> {
    return RunCheck(command, this->edge);
  }
  auto operator()(const VersionsCommand& command) const -> base::Result<int> {
    return RunVersions(command, this->edge);
  }
};

}  // namespace

auto Run(const Invocation& invocation, Edge& edge) -> int {
  auto exit_code = int{kDone};
  auto failure = base::ErrorOf<CtlError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(exit_code, std::visit(Runner{invocation, edge}, invocation.command));
    return {};
  });
  return failure ? Failed(*failure, edge) : exit_code;
}

}  // namespace anvildrum::ctl
