#include "tools/fabric_standin/command_line.h"

#include <tclap/CmdLine.h>

#include <string>

namespace anvildrum::fabric {
namespace {

auto Milliseconds(double value) -> base::Duration {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(value));
}

auto ReadControl(const std::string& text, CommandLine& line) -> base::Result<void> {
  if (text.empty()) return {};
  auto address = base::ParseEndpoint(text);
  if (!address) {
    return boost::leaf::new_error(OptionError{OptionErrorCode::kBadAddress, text});
  }
  line.control = *address;
  return {};
}

}  // namespace

auto ParseCommandLine(int argc, const char* const* argv) -> base::Result<CommandLine> {
  auto command = TCLAP::CmdLine("UDP relay that sprays packets over balancers", ' ', "0.1.0");
  auto services = TCLAP::MultiArg<std::string>("", "service", "address that clients use", true,
                                               "NAME=IP:PORT", command);
  auto balancers =
      TCLAP::MultiArg<std::string>("", "balancer", "receive address of a balancer for a service",
                                   false, "ID=NAME@IP:PORT", command);
  auto control = TCLAP::ValueArg<std::string>("", "control", "address for control messages", false,
                                              "", "IP:PORT", command);
  auto seed = TCLAP::ValueArg<std::uint64_t>("", "seed", "seed of every random choice", false, 1,
                                             "number", command);
  auto client_ms = TCLAP::ValueArg<double>("", "client-ms", "one-way delay, client to fabric",
                                           false, 0, "ms", command);
  auto balancer_ms = TCLAP::ValueArg<double>("", "balancer-ms", "one-way delay, fabric to balancer",
                                             false, 0, "ms", command);
  command.parse(argc, argv);
  auto line = CommandLine{};
  for (const auto& text : services.getValue()) {
    auto service = ParseService(text);
    if (!service) return service.error();
    line.services.push_back(std::move(*service));
  }
  for (const auto& text : balancers.getValue()) {
    auto added = AddBalancerAddress(text, line.services, line.balancers);
    if (!added) return added.error();
  }
  if (auto read = ReadControl(control.getValue(), line); !read) return read.error();
  line.seed = seed.getValue();
  line.client_delay = Milliseconds(client_ms.getValue());
  line.balancer_delay = Milliseconds(balancer_ms.getValue());
  return line;
}

}  // namespace anvildrum::fabric
