#include "ctl/internal/run_apply.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <ostream>

#include "ctl/apply.h"
#include "ctl/exit_code.h"
#include "ctl/render.h"
#include "ctl/wait.h"

namespace anvildrum::ctl {
namespace {

auto ReadFile(const std::string& path) -> base::Result<std::string> {
  auto failure = std::error_code{};
  auto file = std::ifstream(path, std::ios::binary);
  if (!file || std::filesystem::is_directory(path, failure)) {
    return boost::leaf::new_error(CtlError{CtlErrorCode::kNotReadable, path, 0});
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

auto MakeRequest(const ApplyCommand& command, std::string patch, const Edge& edge)
    -> config::PatchRequest {
  auto author = command.author.empty() ? std::string("unknown") : command.author;
  auto request =
      config::PatchRequest{command.id, author, edge.wall_time(), command.base, std::move(patch)};
  if (request.id.empty()) request.id = DerivePatchId(request);
  return request;
}

// The patch is in; no failure here may be told as "nothing was changed".
auto Wait(std::uint64_t number, base::Duration limit, Edge& edge) -> int {
  auto instances = std::vector<Instance>{};
  auto failure = base::ErrorOf<CtlError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(instances, ListInstances(edge.store));
    return {};
  });
  if (failure) {
    edge.err << "anvilctl: can't tell where it is in force: " << Describe(*failure) << '\n';
    return kIncomplete;
  }
  auto missing = WaitInForce(instances, number, {edge.fetch_status, edge.sleep, edge.now, limit});
  for (const auto& report : missing) {
    edge.err << "anvilctl: " << NameOf(report.instance)
             << (report.status ? ": not yet in force\n" : ": unreachable\n");
  }
  if (!missing.empty()) return kIncomplete;
  edge.out << "in force on " << instances.size() << " instances\n";
  return kDone;
}

struct Reporter {
  const ApplyCommand& command;
  const std::string& id;
  base::Duration wait_limit;
  Edge& edge;

  auto operator()(const config::AcceptedPatch& accepted) const -> base::Result<int> {
    if (this->command.dry_run && !accepted.already_accepted) {
      this->edge.out << "would become number " << accepted.number << ": " << accepted.difference
                     << '\n';
      return kDone;
    }
    this->edge.out << "accepted number " << accepted.number << " id " << this->id
                   << (accepted.already_accepted ? " (it was in force already)\n" : "\n");
    if (!this->command.wait || this->command.dry_run) return kDone;
    return Wait(accepted.number, this->wait_limit, this->edge);
  }

  auto operator()(const config::PatchRefusal& refusal) const -> base::Result<int> {
    this->edge.err << "anvilctl: " << this->command.file << ": " << Describe(refusal) << '\n';
    return refusal.fault.rule == config::Rule::kStale ? kConflict : kRefused;
  }

  auto operator()(const NotApplied& failure) const -> base::Result<int> {
    this->edge.err << "anvilctl: nothing was changed: " << Describe(failure.error) << '\n';
    return kPlatformUnreachable;
  }

  auto operator()(const Unsettled& failure) const -> base::Result<int> {
    auto again = failure.error.code != CtlErrorCode::kForgotten;
    this->edge.err << "anvilctl: the patch may have been taken: " << Describe(failure.error)
                   << (again ? "; the same command again tells" : "") << ", id " << this->id
                   << '\n';
    return kUnsettled;
  }
};

}  // namespace

auto RunApply(const ApplyCommand& command, base::Duration wait_limit, Edge& edge)
    -> base::Result<int> {
  BOOST_LEAF_AUTO(patch, ReadFile(command.file));
  auto request = MakeRequest(command, std::move(patch), edge);
  auto options = ApplyOptions{};
  options.dry_run = command.dry_run;
  options.sleep = edge.sleep;
  auto outcome = Apply(edge.store, request, options);
  return std::visit(Reporter{command, request.id, wait_limit, edge}, outcome);
}

}  // namespace anvildrum::ctl
