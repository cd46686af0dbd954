#include "packets/control.h"

#include <algorithm>
#include <limits>
#include <span>
#include <utility>

#include "packets/control.pb.h"
#include "packets/order.h"

namespace anvildrum::packets {
namespace {

auto PutDrained(const DrainedDomains& drained, pb::Drained& body) -> void {
  body.set_revision(drained.revision);
  const auto count = std::min(drained.domains.size(), kMaxDrained);
  for (const auto domain : std::span{drained.domains}.first(count)) body.add_domains(domain);
}

auto ToMessage(const Hello& hello) -> pb::Control {
  auto message = pb::Control{};
  auto* body = message.mutable_hello();
  body->set_complete(hello.complete);
  body->set_service(hello.service.value);
  body->set_listed(hello.listed);
  body->set_digest(hello.digest);
  body->set_part(hello.part);
  body->set_parts(hello.parts);
  for (const auto agent : hello.restarted) body->add_restarted(agent);
  body->set_revision(hello.revision);
  if (hello.drained.revision != 0) PutDrained(hello.drained, *body->mutable_drained());
  if (hello.confirmed_ago) {
    const auto ago = std::chrono::ceil<base::milliseconds>(*hello.confirmed_ago);
    body->set_confirmed_ms_ago(static_cast<std::uint32_t>(ago.count()));
  }
  body->set_mark(hello.mark);
  if (hello.echo) {
    const auto held = std::chrono::floor<base::milliseconds>(hello.echo->held);
    body->set_echoed_mark(hello.echo->mark);
    body->set_echo_held_ms(static_cast<std::uint32_t>(held.count()));
  }
  body->set_cold_per_second(hello.cold_per_second);
  body->set_balancers(hello.balancers);
  body->set_platform_silent(hello.platform_silent);
  body->set_drains_unknown(hello.drains_unknown);
  body->set_holder(hello.holder);
  body->set_classes_digest(hello.classes_digest);
  body->set_classes_version(hello.classes_version);
  body->set_answers_route_queries(hello.answers_route_queries);
  for (const auto agent : hello.out_of_reach) body->add_out_of_reach(agent);
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

// A known service time stays known, however short or long it is.
auto ServiceMicroseconds(base::Duration time) -> std::uint32_t {
  if (time <= base::Duration{}) return 0;
  constexpr auto most = base::microseconds{std::numeric_limits<std::uint32_t>::max()};
  const auto whole = std::chrono::duration_cast<base::microseconds>(time);
  return static_cast<std::uint32_t>(std::clamp(whole, base::microseconds{1}, most).count());
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
  body->set_revision(report.revision);
  if (report.drained.revision != 0) PutDrained(report.drained, *body->mutable_drained());
  body->set_wanted_classes(report.wanted_classes);
  body->set_answered(report.answered);
  body->set_failed(report.failed);
  body->set_service_us(ServiceMicroseconds(report.service_time));
  if (report.routes != kAllRoutes) body->set_routes(report.routes.bits);
  return message;
}

auto PutFlow(const FlowId& flow, pb::Located& body) -> void {
  body.set_client_address(flow.client.address);
  body.set_client_port(flow.client.port);
  body.set_service_address(flow.service.address);
  body.set_service_port(flow.service.port);
}

auto ToMessage(const Located& located) -> pb::Control {
  auto message = pb::Control{};
  PutFlow(located.flow, *message.mutable_located());
  return message;
}

auto ToMessage(const FlowQuery& query) -> pb::Control {
  auto message = pb::Control{};
  auto* body = message.mutable_query();
  body->set_service(query.service.value);
  body->set_token(query.token);
  for (const auto& flow : query.flows) {
    body->add_clients(KeyOf(flow.client));
    body->add_routes(KeyOf(flow.service));
  }
  return message;
}

auto ToMessage(const FlowAnswer& answer) -> pb::Control {
  auto message = pb::Control{};
  auto* body = message.mutable_answer();
  body->set_service(answer.service.value);
  body->set_token(answer.token);
  body->set_settled(answer.settled);
  body->set_peers_digest(answer.peers_digest);
  for (const auto place : answer.held) body->add_held(place);
  for (const auto place : answer.unsure) body->add_unsure(place);
  return message;
}

auto ToMessage(const GivenBack& given_back) -> pb::Control {
  auto message = pb::Control{};
  auto* body = message.mutable_given_back();
  body->set_by_target(given_back.by_target);
  body->set_denied(given_back.denied);
  if (const auto* flow = std::get_if<FlowId>(&given_back.packet)) {
    PutFlow(*flow, *body->mutable_flow());
  } else {
    const auto& datagram = std::get<std::vector<std::uint8_t>>(given_back.packet);
    body->set_datagram(datagram.data(), datagram.size());
  }
  return message;
}

auto MillisecondsOf(base::Duration duration) -> std::uint32_t {
  return static_cast<std::uint32_t>(duration / base::milliseconds{1});
}

auto ToMessage(const RouteClassesPart& part) -> pb::Control {
  auto message = pb::Control{};
  auto* body = message.mutable_route_classes();
  body->set_service(part.service.value);
  body->set_version(part.version);
  body->set_digest(part.digest);
  body->set_part(part.part);
  body->set_parts(part.parts);
  for (const auto& group : part.groups) {
    auto* entry = body->add_classes();
    entry->set_priority(group.request_class.priority);
    entry->set_objective_ms(MillisecondsOf(group.request_class.objective));
    entry->set_timeout_ms(MillisecondsOf(group.request_class.timeout));
    entry->set_repeatable(group.request_class.repeatable);
    for (const auto route : group.routes) entry->add_routes(route);
  }
  return message;
}

auto ToMessage(const RouteQuery& query) -> pb::Control {
  auto message = pb::Control{};
  auto* body = message.mutable_route_query();
  body->set_service(query.service.value);
  body->set_route(KeyOf(query.route));
  return message;
}

auto ToMessage(const RouteAnswer& answer) -> pb::Control {
  auto message = pb::Control{};
  auto* body = message.mutable_route_answer();
  body->set_service(answer.service.value);
  body->set_route(KeyOf(answer.route));
  body->set_openings(answer.openings);
  body->set_packets(answer.packets);
  return message;
}

auto IsPort(std::uint32_t number) -> bool {
  return number <= std::numeric_limits<std::uint16_t>::max();
}

auto FlowFrom(const pb::Located& message) -> std::optional<FlowId> {
  if (!IsPort(message.client_port()) || !IsPort(message.service_port())) return std::nullopt;
  const auto client =
      End{message.client_address(), static_cast<std::uint16_t>(message.client_port())};
  const auto service =
      End{message.service_address(), static_cast<std::uint16_t>(message.service_port())};
  return FlowId{client, service};
}

auto FromMessage(const pb::Located& message, Address sender) -> std::optional<Located> {
  const auto flow = FlowFrom(message);
  if (!flow) return std::nullopt;
  return Located{sender, *flow};
}

auto IsDomain(std::uint32_t number) -> bool { return number >> kDomainTagBits == 0; }

auto DrainedFrom(const pb::Drained& message) -> std::optional<DrainedDomains> {
  auto domains = std::vector<DomainTag>(message.domains().begin(), message.domains().end());
  const auto fits = std::all_of(domains.begin(), domains.end(), IsDomain);
  if (!fits || domains.size() > kMaxDrained) return std::nullopt;
  return DrainedOf(message.revision(), std::move(domains));
}

// Reads the peers of a hello to an agent, each with its domain. Returns false if they are invalid.
auto ReadAgents(const pb::Hello& message, Hello& hello) -> bool {
  if (message.domains_size() != message.agents_size()) return false;
  for (auto i = 0; i < message.agents_size(); ++i) {
    if (!IsDomain(message.domains(i))) return false;
    hello.peers.push_back({message.agents(i), hello.service, message.domains(i)});
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
  hello.restarted.assign(message.restarted().begin(), message.restarted().end());
  hello.revision = message.revision();
  const auto drained = DrainedFrom(message.drained());
  if (!drained) return std::nullopt;
  hello.drained = *drained;
  if (message.has_confirmed_ms_ago()) {
    hello.confirmed_ago = base::milliseconds{message.confirmed_ms_ago()};
  }
  hello.mark = message.mark();
  if (message.has_echoed_mark()) {
    hello.echo = base::Echo{.mark = message.echoed_mark(),
                            .held = base::milliseconds{message.echo_held_ms()}};
  }
  hello.cold_per_second = message.cold_per_second();
  hello.balancers = message.balancers();
  hello.platform_silent = message.platform_silent();
  hello.drains_unknown = message.drains_unknown();
  hello.holder = message.holder();
  hello.classes_digest = message.classes_digest();
  hello.classes_version = message.classes_version();
  hello.answers_route_queries = message.answers_route_queries();
  hello.out_of_reach.assign(message.out_of_reach().begin(), message.out_of_reach().end());
  hello.every = base::milliseconds{message.every_ms()};
  for (const auto& peer : message.peers()) {
    hello.peers.push_back({peer.agent(), base::ServiceId{peer.service()}, 0});
  }
  if (!ReadAgents(message, hello)) return std::nullopt;
  return hello;
}

auto FromMessage(const pb::Report& message, Address sender) -> std::optional<TargetReport> {
  if (message.state() > static_cast<std::uint32_t>(TargetState::kStarting)) return std::nullopt;
  const auto drained = DrainedFrom(message.drained());
  if (!IsDomain(message.domain()) || !drained) return std::nullopt;
  if (message.failed() > message.answered()) return std::nullopt;
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
                      .domain = message.domain(),
                      .revision = message.revision(),
                      .drained = *drained,
                      .wanted_classes = message.wanted_classes(),
                      .answered = message.answered(),
                      .failed = message.failed(),
                      .service_time = base::microseconds{message.service_us()},
                      .routes = message.has_routes() ? RouteSet{message.routes()} : kAllRoutes};
}

// Inverse of KeyOf; returns nullopt for numbers that are not an address and port.
auto EndOf(std::uint64_t number) -> std::optional<End> {
  constexpr auto bits = 48U;
  if (number >> bits != 0) return std::nullopt;
  return End{static_cast<Address>(number >> 16U), static_cast<std::uint16_t>(number)};
}

auto FromMessage(const pb::Query& message) -> std::optional<FlowQuery> {
  const auto count = message.clients_size();
  if (message.routes_size() != count || count > static_cast<int>(kFlowsInQuery)) {
    return std::nullopt;
  }
  auto query = FlowQuery{base::ServiceId{message.service()}, message.token(), {}};
  for (auto i = 0; i < count; ++i) {
    const auto client = EndOf(message.clients(i));
    const auto service = EndOf(message.routes(i));
    if (!client || !service) return std::nullopt;
    query.flows.push_back({*client, *service});
  }
  return query;
}

auto FromMessage(const pb::Answer& message, Address sender) -> FlowAnswer {
  return {.agent = sender,
          .service = base::ServiceId{message.service()},
          .token = message.token(),
          .settled = message.settled(),
          .peers_digest = message.peers_digest(),
          .held = {message.held().begin(), message.held().end()},
          .unsure = {message.unsure().begin(), message.unsure().end()}};
}

auto FromMessage(const pb::GivenBack& message, Address sender) -> std::optional<GivenBack> {
  if (message.has_flow()) {
    const auto flow = FlowFrom(message.flow());
    if (!flow) return std::nullopt;
    return GivenBack{sender, message.by_target(), *flow, message.denied()};
  }
  const auto& datagram = message.datagram();
  if (datagram.size() > kMaxGivenBack) return std::nullopt;
  return GivenBack{sender, message.by_target(),
                   std::vector<std::uint8_t>{datagram.begin(), datagram.end()}, message.denied()};
}

auto ClassFrom(const pb::RouteClass& message) -> admission::RequestClass {
  return admission::MakeRequestClass(message.priority(), base::milliseconds{message.objective_ms()},
                                     base::milliseconds{message.timeout_ms()},
                                     message.repeatable());
}

auto FromMessage(const pb::RouteClasses& message) -> std::optional<RouteClassesPart> {
  if (message.parts() > kMaxClassParts || message.part() >= message.parts()) return std::nullopt;
  auto part = RouteClassesPart{.service = base::ServiceId{message.service()},
                               .version = message.version(),
                               .digest = message.digest(),
                               .part = message.part(),
                               .parts = message.parts()};
  auto routes = 0;
  for (const auto& entry : message.classes()) {
    auto group = RouteGroup{ClassFrom(entry), {entry.routes().begin(), entry.routes().end()}};
    routes += entry.routes_size();
    if (!group.request_class.known || group.routes.empty() ||
        routes > static_cast<int>(kRoutesInPart)) {
      return std::nullopt;
    }
    part.groups.push_back(std::move(group));
  }
  return part;
}

auto FromMessage(const pb::RouteQuery& message) -> std::optional<RouteQuery> {
  const auto route = EndOf(message.route());
  if (!route) return std::nullopt;
  return RouteQuery{base::ServiceId{message.service()}, *route};
}

auto FromMessage(const pb::RouteAnswer& message) -> std::optional<RouteAnswer> {
  const auto route = EndOf(message.route());
  if (!route) return std::nullopt;
  return RouteAnswer{.service = base::ServiceId{message.service()},
                     .route = *route,
                     .openings = message.openings(),
                     .packets = message.packets()};
}

// Wraps a decoded message as a Control; nullopt stays nullopt.
template <typename Message>
auto AsControl(const std::optional<Message>& message) -> std::optional<Control> {
  if (!message) return std::nullopt;
  return Control{*message};
}

}  // namespace

auto DigestOf(const Hello& hello) -> std::uint32_t {
  auto agents = std::vector<Place>{};
  for (const auto& peer : hello.peers) agents.push_back({peer.agent, peer.domain});
  return DigestOf(agents);
}

auto EncodeControl(const Control& control) -> std::string {
  return std::visit([](const auto& body) { return ToMessage(body).SerializeAsString(); }, control);
}

auto DecodeControl(std::span<const std::uint8_t> bytes, Address sender) -> std::optional<Control> {
  auto message = pb::Control{};
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return std::nullopt;
  switch (message.body_case()) {
    case pb::Control::kHello:
      return AsControl(FromMessage(message.hello()));
    case pb::Control::kReport:
      return AsControl(FromMessage(message.report(), sender));
    case pb::Control::kLocated:
      return AsControl(FromMessage(message.located(), sender));
    case pb::Control::kQuery:
      return AsControl(FromMessage(message.query()));
    case pb::Control::kAnswer:
      return FromMessage(message.answer(), sender);
    case pb::Control::kGivenBack:
      return AsControl(FromMessage(message.given_back(), sender));
    case pb::Control::kRouteClasses:
      return AsControl(FromMessage(message.route_classes()));
    case pb::Control::kRouteQuery:
      return AsControl(FromMessage(message.route_query()));
    case pb::Control::kRouteAnswer:
      return AsControl(FromMessage(message.route_answer()));
    default:
      return std::nullopt;
  }
}

}  // namespace anvildrum::packets
