// anvildrum-fabric-standin: stands in for a fabric that sprays packets over balancers.

#include <boost/system/system_error.hpp>
#include <cstdlib>
#include <iostream>

#include "tools/fabric_standin/command_line.h"
#include "tools/fabric_standin/relay.h"

namespace anvildrum::fabric {
namespace {

constexpr auto kExitUsage = 2;

auto Run(int argc, const char* const* argv) -> base::Result<int> {
  auto line = ParseCommandLine(argc, argv);
  if (!line) return line.error();
  RunRelay(*line);
  return EXIT_SUCCESS;
}

auto RunOrExplain(int argc, const char* const* argv) -> int {
  return boost::leaf::try_handle_all([&] { return Run(argc, argv); },
                                     [](const OptionError& error) {
                                       std::cerr << "option refused ("
                                                 << static_cast<int>(error.code)
                                                 << "): " << error.text << '\n';
                                       return kExitUsage;
                                     },
                                     [] { return EXIT_FAILURE; });
}

}  // namespace
}  // namespace anvildrum::fabric

auto main(int argc, char** argv) -> int {
  try {
    return anvildrum::fabric::RunOrExplain(argc, argv);
  } catch (const boost::system::system_error& error) {
    std::cerr << "socket: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
