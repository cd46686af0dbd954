#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types/endpoint.h"
#include "wire/key_ring.h"

/// The processes round the balancer under measurement: load, sinks (in the place of agents and
/// targets), and a plain relay in the place of the balancer.
namespace anvildrum::forwarding {

/// What every datagram of the load begins with; the rest is filling.
struct Stamp {
  std::uint32_t flow = 0;
  std::uint32_t round = 0;  ///< answers of an earlier round are passed over
  std::uint64_t sent_ns = 0;
};

struct LoadPlan {
  std::vector<base::Endpoint> to;  ///< flow i goes to the address i modulo their number
  std::uint32_t threads = 1;
  std::uint32_t flows = 1;    ///< a thread
  std::uint32_t window = 1;   ///< datagrams of a thread on their way at a time
  std::uint32_t packets = 1;  ///< of all threads, after the warm-up
  std::uint32_t size = 64;    ///< bytes
  std::uint32_t warm_up = 0;  ///< datagrams of each thread that are not timed
};

/// Prints one line of JSON: answers a second, lost datagrams, delays in microseconds.
auto RunLoad(const LoadPlan& plan) -> int;

/// Sends one datagram from each of `flows` client addresses of 127.0.0.0/8, and stops.
auto RunHold(const base::Endpoint& to, std::uint32_t flows) -> int;

/// Two plain Asio sockets: what comes from a client at `front` goes to a sink, flow i to the sink i
/// modulo their number, and what a sink answers goes back to the flow's client. Ends with SIGTERM.
auto RunRelay(const base::Endpoint& front, const std::vector<base::Endpoint>& sinks) -> int;

struct SinkPlan {
  std::string service;
  std::string key;  ///< of the tunnel, 32 hexadecimal digits
  std::uint32_t sinks = 1;
};

/// Each sink on its own thread: a socket that speaks the tunnel, as an agent does, and one that
/// echoes. Prints one line of JSON with the records and addresses, then serves until SIGTERM.
auto RunSinks(const SinkPlan& plan) -> int;

/// A tunnel key from 32 hexadecimal digits.
auto ReadKey(const std::string& digits) -> wire::Key;

struct RequestsPlan {
  base::Endpoint agent;  ///< its tunnel
  std::string service;
  std::string key;
  std::uint32_t flows = 1;
  std::uint32_t window = 1;    ///< requests on their way at a time
  std::uint32_t requests = 1;  ///< in all
};

/// In the place of a balancer: sends GETs through the tunnel to an agent. Prints as RunLoad does,
/// with the answers that were not 2.05.
auto RunRequests(const RequestsPlan& plan) -> int;

/// In the place of a target: answers each confirmable GET with 64 bytes. Ends with SIGTERM.
auto RunTarget(const base::Endpoint& listen) -> int;

}  // namespace anvildrum::forwarding
