#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types/endpoint.h"
#include "wire/key_ring.h"

namespace anvildrum::settings {

enum class Role { kBalancer, kAgent };

enum class LogLevel { kTrace, kDebug, kInfo, kWarn, kError, kOff };

/// A CURVE key pair (ZeroMQ), each half as 40 characters of Z85 (ZeroMQ RFC 32).
struct RelayKey {
  std::string public_key;
  std::string secret_key;
};

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  std::string file;  ///< empty: standard error
};

struct TraceSettings {
  std::string file;                   ///< empty: no traces are written
  std::uint32_t sample_permille = 0;  ///< flows in a thousand that are traced
};

/// Where to receive a service's datagrams when that isn't the service's own address.
struct LocalBind {
  base::Endpoint address;  ///< the service's, as in the configuration
  base::Endpoint bind;     ///< local; port 0 takes a free one
};

struct BalancerSettings {
  base::Endpoint control;  ///< ZeroMQ port of the relay
  std::vector<LocalBind> bind;
  std::uint32_t flow_table_entries = 1'000'000;
  std::uint32_t new_flows_per_second = 20'000;  ///< more than these are refused
};

/// The target beside an agent.
struct TargetSettings {
  std::string name;
  std::string service;
  base::Endpoint address;
  std::uint32_t slots = 0;        ///< requests it runs at once
  std::uint32_t connections = 0;  ///< flows it holds at most
};

struct AgentSettings {
  TargetSettings target;
  std::uint32_t drain_seconds = 28'800;  ///< a drain that lasts longer ends its flows
};

/// What one process of the system is told at its start.
struct Settings {
  Role role = Role::kBalancer;
  std::string name;
  std::string failure_domain;
  std::string region;  ///< may be empty
  base::Endpoint tunnel;
  base::Endpoint operator_port;
  std::vector<base::Endpoint> platform;  ///< tried in turn
  wire::KeyRing tunnel_keys;             ///< the first one seals
  std::vector<RelayKey> relay_keys;      ///< the first one is current; empty: insecure_relay
  bool insecure_relay = false;           ///< the relay runs without encryption
  std::vector<base::Endpoint> relay_peers;
  LogSettings log;
  TraceSettings trace;
  BalancerSettings balancer;  ///< read where role is kBalancer
  AgentSettings agent;        ///< read where role is kAgent
};

}  // namespace anvildrum::settings
