#pragma once

#include <coap3/coap.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tools/target_standin/command_line.h"
#include "tools/target_standin/work.h"

namespace anvildrum::target {

/// A report that a client is fetching block by block; it holds a slot until its last block.
struct Export {
  JobId job = 0;
  base::TimePoint last_block;
};

/// The server's whole state, reached from libcoap's handlers by the context's app data.
struct Server {
  CommandLine line;
  Work work;
  std::string report;  ///< made once at start
  std::uint64_t report_digest = 0;
  std::map<std::string, std::string> execution_bodies;  ///< by client, while it fetches the blocks
  std::vector<coap_resource_t*> observed;               ///< notified at each interval
  std::map<coap_async_t*, JobId> jobs_of_asyncs;        ///< of delayed answers
  std::map<std::string, Export> exports;                ///< by client
  std::uint64_t sequence = 0;                           ///< of the last notification
  double price = 0;
};

/// The server behind a handler's session.
auto ServerOf(coap_session_t* session) -> Server&;

/// Binds, prints `listening IP:PORT` and serves until SIGTERM or SIGINT; then refuses new requests,
/// finishes the running ones and the reports in progress, and returns. False when the address can't
/// be bound.
auto RunServer(const CommandLine& line) -> bool;

}  // namespace anvildrum::target
