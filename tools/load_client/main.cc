// anvildrum-load-client: scripted CoAP load; exits 0 only when every answer and stream was right.

#include <cstdlib>
#include <iostream>

#include "tools/common/stop.h"
#include "tools/load_client/command_line.h"
#include "tools/load_client/load.h"

namespace anvildrum::load {
namespace {

constexpr auto kExitUsage = 2;

auto Run(int argc, const char* const* argv) -> base::Result<int> {
  auto line = ParseCommandLine(argc, argv);
  if (!line) return line.error();
  tools::InstallStopHandler();
  return RunLoad(*line) ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace anvildrum::load

auto main(int argc, char** argv) -> int {
  using anvildrum::base::EndpointError;
  return boost::leaf::try_handle_all([&] { return anvildrum::load::Run(argc, argv); },
                                     [](const EndpointError& error) {
                                       std::cerr << "not an address: " << error.text << '\n';
                                       return anvildrum::load::kExitUsage;
                                     },
                                     [] { return EXIT_FAILURE; });
}
