#include "packets/control.h"

#include <limits>

#include "packets/control.pb.h"
#include "packets/order.h"

namespace anvildrum::packets {
namespace {

auto ToMessage(const Hello& hello) -> pb::Control {
  auto message = pb::Control{};
  auto* body = message.mutable_hello();
  body->set_complete(hello.complete);
  body->set_service(hello.service.value);
  body->set_listed(hello.listed);
  body->set_digest(hello.digest);
  body->set_part(hello.part);
  body->set_parts(hello.parts);
  body->set_every_ms(static_cast<std::uint32_t>(hello.every / base::milliseconds{1}));
  if (hello.service != base::ServiceId{}) {
    for (const auto& peer : hello.peers) {
      body->add_agents(peer.agent);
      body->add_domains(peer.domain);
    }
    return message;
  }
  for (const auto& peer : hello.peers) {
    auto* entry = body->add_peers();
    entry->set_agent(peer.agent);
    entry->set_service(peer.service.value);
  }
  return message;
}

auto ToMessage(const TargetReport& report) -> pb::Control {
  auto message = pb::Control{};
  auto* body = message.mutable_report();
  body->set_service(report.service.value);
  body->set_start(report.start);
  body->set_sequence(report.sequence);
  body->set_state(static_cast<std::uint32_t>(report.state));
  body->set_in_flight(report.in_flight);
  body->set_held(report.held);
  body->set_slots(report.slots);
  body->set_cold(report.cold);
  body->set_wanted_list(report.wanted_list);
  body->set_domain(report.domain);
  return message;
}

auto ToMessage(const Located& located) -> pb::Control {
  auto message = pb::Control{};
  auto* body = message.mutable_located();
  body->set_client_address(located.flow.client.address);
  body->set_client_port(located.flow.client.port);
  body->set_service_address(located.flow.service.address);
  body->set_service_port(located.flow.service.port);
  return message;
}

auto IsPort(std::uint32_t number) -> bool {
  return number <= std::numeric_limits<std::uint16_t>::max();
}

auto FromMessage(const pb::Located& message, Address sender) -> std::optional<Located> {
  if (!IsPort(message.client_port()) || !IsPort(message.service_port())) return std::nullopt;
  const auto client =
      End{message.client_address(), static_cast<std::uint16_t>(message.client_port())};
  const auto service =
      End{message.service_address(), static_cast<std::uint16_t>(message.service_port())};
  return Located{sender, {client, service}};
}

auto IsDomain(std::uint32_t number) -> bool {
  return number <= std::numeric_limits<DomainTag>::max();
}

// The peers of a hello to an agent, each with its domain.
auto TakeAgents(const pb::Hello& message, Hello& hello) -> bool {
  if (message.domains_size() != message.agents_size()) return false;
  for (auto i = 0; i < message.agents_size(); ++i) {
    if (!IsDomain(message.domains(i))) return false;
    const auto domain = static_cast<DomainTag>(message.domains(i));
    hello.peers.push_back({message.agents(i), hello.service, domain});
  }
  return true;
}

auto FromMessage(const pb::Hello& message) -> std::optional<Hello> {
  auto hello = Hello{};
  if (message.parts() > kMaxHelloParts || message.part() >= message.parts()) return std::nullopt;
  hello.part = message.part();
  hello.parts = message.parts();
  hello.complete = message.complete();
  hello.service = base::ServiceId{message.service()};
  hello.listed = message.listed();
  hello.digest = message.digest();
  hello.every = base::milliseconds{message.every_ms()};
  for (const auto& peer : message.peers()) {
    hello.peers.push_back({peer.agent(), base::ServiceId{peer.service()}, 0});
  }
  if (!TakeAgents(message, hello)) return std::nullopt;
  return hello;
}

auto FromMessage(const pb::Report& message, Address sender) -> std::optional<TargetReport> {
  if (message.state() > static_cast<std::uint32_t>(TargetState::kStopping)) return std::nullopt;
  if (!IsDomain(message.domain())) return std::nullopt;
  return TargetReport{.agent = sender,
                      .service = base::ServiceId{message.service()},
                      .start = message.start(),
                      .sequence = message.sequence(),
                      .state = static_cast<TargetState>(message.state()),
                      .in_flight = message.in_flight(),
                      .held = message.held(),
                      .slots = message.slots(),
                      .cold = message.cold(),
                      .wanted_list = message.wanted_list(),
                      .domain = static_cast<DomainTag>(message.domain())};
}

}  // namespace

auto DigestOf(const Hello& hello) -> std::uint32_t {
  auto agents = std::vector<Place>{};
  for (const auto& peer : hello.peers) agents.push_back({peer.agent, peer.domain});
  return static_cast<std::uint32_t>(LongDigestOf(agents)) | 1U;
}

auto EncodeControl(const Control& control) -> std::string {
  return std::visit([](const auto& body) { return ToMessage(body).SerializeAsString(); }, control);
}

auto DecodeControl(std::span<const std::uint8_t> bytes, Address sender) -> std::optional<Control> {
  auto message = pb::Control{};
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  if (message.has_hello()) {
    const auto hello = FromMessage(message.hello());
    return hello ? std::optional<Control>{*hello} : std::nullopt;
  }
  if (message.has_located()) {
    const auto located = FromMessage(message.located(), sender);
    return located ? std::optional<Control>{*located} : std::nullopt;
  }
  if (!message.has_report()) return std::nullopt;
  const auto report = FromMessage(message.report(), sender);
  if (!report) return std::nullopt;
  return *report;
}

}  // namespace anvildrum::packets
