// The processes round the balancer under measurement; forwarding.py starts them.
#include <tclap/CmdLine.h>

#include <iostream>

#include "roles.h"

namespace {

namespace base = anvildrum::base;
namespace forwarding = anvildrum::forwarding;

using Number = TCLAP::ValueArg<std::uint32_t>;
using Text = TCLAP::ValueArg<std::string>;
using Texts = TCLAP::MultiArg<std::string>;

auto ReadEndpoints(const std::vector<std::string>& texts) -> std::vector<base::Endpoint> {
  auto endpoints = std::vector<base::Endpoint>{};
  for (const auto& text : texts) endpoints.push_back(base::ParseEndpoint(text).value());
  return endpoints;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto command = TCLAP::CmdLine("Load, sinks and floor of the forwarding bench", ' ', "0.1.0");
  auto role = TCLAP::UnlabeledValueArg<std::string>(
      "role", "load, hold, relay, sinks, requests or target", true, "", "ROLE", command);
  auto to = Texts("", "to", "where to send", false, "IP:PORT", command);
  auto front =
      Text("", "front", "where the relay or target listens", false, "", "IP:PORT", command);
  auto service = Text("", "service", "of the sinks", false, "bench", "NAME", command);
  auto key = Text("", "key", "of the tunnel", false, "", "HEX", command);
  auto sinks = Number("", "sinks", "threads", false, 1, "N", command);
  auto threads = Number("", "threads", "of the load", false, 1, "N", command);
  auto flows = Number("", "flows", "of a thread, or to hold", false, 1, "N", command);
  auto window = Number("", "window", "on the way at a time, a thread", false, 1, "N", command);
  auto packets = Number("", "packets", "to send", false, 1, "N", command);
  auto warm_up = Number("", "warm-up", "not timed, a thread", false, 0, "N", command);
  auto size = Number("", "size", "of a datagram", false, 64, "BYTES", command);
  command.parse(argc, argv);
  auto addresses = ReadEndpoints(to.getValue());
  if (role.getValue() == "relay") {
    return forwarding::RunRelay(ReadEndpoints({front.getValue()}).front(), addresses);
  }
  if (role.getValue() == "sinks") {
    return forwarding::RunSinks({service.getValue(), key.getValue(), sinks.getValue()});
  }
  if (role.getValue() == "target") {
    return forwarding::RunTarget(ReadEndpoints({front.getValue()}).front());
  }
  if (addresses.empty()) return 1;
  if (role.getValue() == "requests") {
    return forwarding::RunRequests({addresses.front(), service.getValue(), key.getValue(),
                                    flows.getValue(), window.getValue(), packets.getValue()});
  }
  if (role.getValue() == "hold") return forwarding::RunHold(addresses.front(), flows.getValue());
  return forwarding::RunLoad({addresses, threads.getValue(), flows.getValue(), window.getValue(),
                              packets.getValue(), size.getValue(), warm_up.getValue()});
}
