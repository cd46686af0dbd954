// anvildrum-target-standin: a CoAP server that stands in for a target.

#include <cstdlib>
#include <iostream>

#include "tools/common/stop.h"
#include "tools/target_standin/command_line.h"
#include "tools/target_standin/server.h"

namespace anvildrum::target {
namespace {

constexpr auto kExitUsage = 2;

auto Run(int argc, const char* const* argv) -> base::Result<int> {
  auto line = ParseCommandLine(argc, argv);
  if (!line) return line.error();
  tools::InstallStopHandler();
  if (RunServer(*line)) return EXIT_SUCCESS;
  std::cerr << "can't bind " << base::FormatEndpoint(line->listen) << '\n';
  return EXIT_FAILURE;
}

}  // namespace
}  // namespace anvildrum::target

auto main(int argc, char** argv) -> int {
  using anvildrum::base::EndpointError;
  return boost::leaf::try_handle_all([&] { return anvildrum::target::Run(argc, argv); },
                                     [](const EndpointError& error) {
                                       std::cerr << "not an address: " << error.text << '\n';
                                       return anvildrum::target::kExitUsage;
                                     },
                                     [] { return EXIT_FAILURE; });
}
