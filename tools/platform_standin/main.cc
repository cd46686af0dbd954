#include <tclap/CmdLine.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "platform_standin/server.h"

namespace anvildrum::platform_standin {
namespace {

constexpr auto kVersion = "0.1.0";

/// Fills the store from a JSON object, key -> value. False when the file holds no such object.
auto Load(const std::string& path, Store& store) -> bool {
  auto file = std::ifstream(path);
  auto document = nlohmann::json::parse(file, nullptr, false);
  if (!document.is_object()) return false;
  for (const auto& [key, value] : document.items()) {
    if (Put(store, key, value.dump(), IfAbsent{}) != WriteResult::kCreated) return false;
  }
  return true;
}

auto Fail(const std::string& subject, const std::string& problem) -> int {
  std::cerr << subject << ": " << problem << '\n';
  return EXIT_FAILURE;
}

auto Run(const std::string& listen, const std::string& load) -> int {
  auto context = boost::asio::io_context(1);
  auto server = Server(context);
  if (!load.empty() && !Load(load, server.State().store)) {
    return Fail(load, "not a JSON object of values");
  }
  auto endpoint = base::ParseEndpoint(listen);
  if (!endpoint) return Fail(listen, "not IP:PORT");
  auto bound = server.Listen(*endpoint);
  if (!bound) return Fail(listen, "cannot listen");
  auto signals = boost::asio::signal_set(context, SIGINT, SIGTERM);
  signals.async_wait([&](auto, auto) { server.Stop(); });
  std::cout << "listening " << base::FormatEndpoint(*bound) << std::endl;
  context.run();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace anvildrum::platform_standin

auto main(int argc, char** argv) -> int {
  auto command = TCLAP::CmdLine("Stand-in for the platform's object API", ' ',
                                anvildrum::platform_standin::kVersion);
  auto listen = TCLAP::ValueArg<std::string>("", "listen", "where to listen; port 0 is any", false,
                                             "127.0.0.1:0", "IP:PORT", command);
  auto load = TCLAP::ValueArg<std::string>("", "load", "objects to start with, key -> value", false,
                                           "", "FILE", command);
  command.parse(argc, argv);
  return anvildrum::platform_standin::Run(listen.getValue(), load.getValue());
}
