#include <pthread.h>

#include <boost/asio/io_context.hpp>
#include <charconv>
#include <csignal>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>
#include <unordered_set>

#include "membership/codec.h"
#include "net/udp_port.h"
#include "roles.h"
#include "wire/convert.h"
#include "wire/datagram.h"

namespace anvildrum::forwarding {
namespace {

using wire::pb::TunnelHeader;

constexpr auto kLoopback = std::uint32_t{0x7f000001};
constexpr auto kIncarnation = base::Incarnation{1};
constexpr auto kConnections = 10'000'000U;
constexpr auto kHexBase = 16;

struct Sink {
  membership::TargetRecord record;
  wire::KeyRing ring;
  boost::asio::io_context io{1};
  std::unique_ptr<net::UdpPort> tunnel;
  std::unique_ptr<net::UdpPort> echo;
  std::unordered_set<base::Endpoint> hinted;
  wire::Opened opened;
  TunnelHeader reply;
  wire::Bytes bytes;
};

auto Send(Sink& sink, const base::Endpoint& to, TunnelHeader& header, wire::BytesView payload)
    -> void {
  header.set_sender(sink.record.instance.value);
  header.set_incarnation(sink.record.incarnation);
  if (wire::Seal(sink.ring, header, payload, sink.bytes)) sink.tunnel->Send(to, sink.bytes);
}

auto SendHint(Sink& sink, const base::Endpoint& to, const wire::pb::Flow& flow) -> void {
  auto client = wire::ReadEndpoint(flow.client());
  if (!client || !sink.hinted.insert(*client).second) return;
  auto header = TunnelHeader{};
  *header.mutable_hint()->mutable_flow() = flow;
  header.mutable_hint()->mutable_owner()->set_target(sink.record.id.value);
  header.mutable_hint()->mutable_owner()->set_incarnation(sink.record.incarnation);
  Send(sink, to, header, {});
}

auto OnTunnel(Sink& sink, const base::Endpoint& from, wire::BytesView datagram) -> void {
  if (!wire::Open(sink.ring, datagram, sink.opened)) return;
  const auto& header = sink.opened.header;
  if (header.has_packet()) {
    SendHint(sink, from, header.packet().flow());
    *sink.reply.mutable_reply()->mutable_flow() = header.packet().flow();
    Send(sink, from, sink.reply, sink.opened.payload);
  } else if (header.has_probe()) {
    auto answer = TunnelHeader{};
    answer.mutable_probe_answer()->set_sequence(header.probe().sequence());
    Send(sink, from, answer, {});
  }
}

auto OpenSink(Sink& sink, const SinkPlan& plan, std::uint32_t index) -> bool {
  auto options = net::UdpPortOptions{};
  options.local = base::EndpointFromV4(kLoopback, 0);
  sink.ring.keys = {ReadKey(plan.key)};
  auto tunnel = net::UdpPort::Open(
      sink.io, options, [&](const auto& from, auto data) { OnTunnel(sink, from, data); });
  auto echo = net::UdpPort::Open(sink.io, options,
                                 [&](const auto& from, auto data) { sink.echo->Send(from, data); });
  if (!tunnel || !echo) return false;
  sink.tunnel = std::move(*tunnel);
  sink.echo = std::move(*echo);
  auto name = plan.service + "-" + std::to_string(index + 1);
  sink.record = {name,
                 base::TargetIdOf(name),
                 plan.service,
                 base::ServiceIdOf(plan.service),
                 base::InstanceIdOf("agent-" + name),
                 kIncarnation,
                 sink.tunnel->LocalEndpoint(),
                 sink.tunnel->LocalEndpoint(),
                 "bench-1",
                 1,
                 kConnections};
  return true;
}

auto Describe(const std::vector<std::unique_ptr<Sink>>& sinks) -> std::string {
  auto records = nlohmann::json::object();
  auto echoes = nlohmann::json::array();
  for (const auto& sink : sinks) {
    auto value = nlohmann::json::parse(membership::Serialize(sink->record));
    records[membership::KeyOf(sink->record)] = value;
    echoes.push_back(base::FormatEndpoint(sink->echo->LocalEndpoint()));
  }
  return nlohmann::json{{"records", records}, {"echoes", echoes}}.dump();
}

auto AwaitStop() -> void {
  auto set = sigset_t{};
  ::sigemptyset(&set);
  ::sigaddset(&set, SIGINT);
  ::sigaddset(&set, SIGTERM);
  auto number = 0;
  ::sigwait(&set, &number);
}

auto BlockStopSignals() -> void {
  auto set = sigset_t{};
  ::sigemptyset(&set);
  ::sigaddset(&set, SIGINT);
  ::sigaddset(&set, SIGTERM);
  ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

}  // namespace

auto ReadKey(const std::string& digits) -> wire::Key {
  auto key = wire::Key{};
  for (auto i = std::size_t{0}; i < key.size(); ++i) {
    const auto* begin = digits.data() + 2 * i;
    std::from_chars(begin, begin + 2, key[i], kHexBase);
  }
  return key;
}

auto RunSinks(const SinkPlan& plan) -> int {
  BlockStopSignals();
  auto sinks = std::vector<std::unique_ptr<Sink>>{};
  for (auto index = 0U; index < plan.sinks; ++index) {
    sinks.push_back(std::make_unique<Sink>());
    if (!OpenSink(*sinks.back(), plan, index)) return 1;
  }
  auto threads = std::vector<std::jthread>{};
  for (auto& sink : sinks) threads.emplace_back([&io = sink->io] { io.run(); });
  std::cout << Describe(sinks) << std::endl;
  AwaitStop();
  for (auto& sink : sinks) sink->io.stop();
  return 0;
}

}  // namespace anvildrum::forwarding
