#include "tools/target_standin/server.h"

#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <iostream>
#include <memory>

#include "tools/common/coap_address.h"
#include "tools/common/report.h"
#include "tools/common/stop.h"
#include "tools/target_standin/resources.h"

namespace anvildrum::target {
namespace {

// Longest sleep of the loop; a stop is noticed after at most this.
constexpr auto kMaxWait = base::milliseconds{50};
// A report whose client has not asked for a block for so long is given up: a client retransmits a
// block's request at least once in this time (RFC 7252, 4.8), so a longer silence means it is gone.
constexpr auto kExportIdleLimit = base::seconds{10};
// Confirmable messages a client may have outstanding. libcoap 4.3.1's client drops a repeated
// confirmable answer without acknowledging it again, so after one lost acknowledgement the default
// of 1 holds up every answer and notification of that client until the retransmissions have run
// out, which takes over a minute. Each answer has its own retransmissions, so letting others pass
// is safe.
constexpr auto kOutstanding = std::uint16_t{64};
constexpr auto kFirstPrice = 100.0;
constexpr auto kPriceStep = 0.25;

struct ContextDeleter {
  auto operator()(coap_context_t* context) const -> void { coap_free_context(context); }
};
using Context = std::unique_ptr<coap_context_t, ContextDeleter>;

/// The bound address, which libcoap only gives as text: "IP:PORT UDP".
auto BoundAddress(const coap_endpoint_t* endpoint) -> std::string {
  auto text = std::string(coap_endpoint_str(endpoint));
  return text.substr(0, text.find(' '));
}

/// Safeguard: libcoap binds with SO_REUSEADDR, so a second target on a port in use would start and
/// take the first one's packets without an error. Binding once without that option fails then.
auto IsFree(const coap_address_t& address) -> bool {
  auto probe = socket(address.addr.sa.sa_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (probe < 0) return false;
  auto bound = bind(probe, &address.addr.sa, address.size) == 0;
  close(probe);
  return bound;
}

auto Listen(coap_context_t* context, const base::Endpoint& listen) -> bool {
  auto address = tools::ToCoapAddress(listen);
  if (!IsFree(address)) return false;
  auto* endpoint = coap_new_endpoint(context, &address, COAP_PROTO_UDP);
  if (endpoint == nullptr) return false;
  std::cout << "listening " << BoundAddress(endpoint) << std::endl;
  return true;
}

auto OnEvent(coap_session_t* session, coap_event_t event) -> int {
  if (event == COAP_EVENT_SERVER_SESSION_NEW) coap_session_set_nstart(session, kOutstanding);
  return 0;
}

auto Notify(Server& server) -> void {
  ++server.sequence;
  auto step = std::uniform_int_distribution<int>(-2, 2)(server.work.random);
  server.price += kPriceStep * step;
  for (auto* resource : server.observed) coap_resource_notify_observers(resource, nullptr);
}

auto WaitUntil(base::TimePoint next) -> std::uint32_t {
  auto left = std::chrono::ceil<base::milliseconds>(next - base::Clock::now());
  auto wait = std::clamp<base::milliseconds>(left, base::milliseconds{1}, kMaxWait);
  return static_cast<std::uint32_t>(wait.count());
}

auto GiveUpIdleExports(Server& server, base::TimePoint now) -> void {
  std::erase_if(server.exports, [&](const auto& entry) {
    if (now - entry.second.last_block <= kExportIdleLimit) return false;
    Finish(server.work, entry.second.job, now);
    return true;
  });
}

/// Serves until `done` says so.
template <typename Done>
auto Serve(coap_context_t* context, Server& server, Done done) -> void {
  auto next = base::Clock::now() + server.line.notify_interval;
  while (!done()) {
    coap_io_process(context, WaitUntil(next));
    if (base::Clock::now() < next) continue;
    next += server.line.notify_interval;
    Notify(server);
    GiveUpIdleExports(server, base::Clock::now());
  }
}

auto Drain(coap_context_t* context, Server& server) -> void {
  auto limit = base::Clock::now() + server.line.drain_limit;
  SetDraining(server.work, true, base::Clock::now());
  Serve(context, server, [&] {
    auto idle = server.work.jobs.empty() && coap_can_exit(context) != 0;
    return idle || base::Clock::now() >= limit;
  });
}

}  // namespace

auto ServerOf(coap_session_t* session) -> Server& {
  return *static_cast<Server*>(coap_get_app_data(coap_session_get_context(session)));
}

auto RunServer(const CommandLine& line) -> bool {
  auto server = Server{};
  server.line = line;
  server.work.settings = line.work;
  server.work.random.seed(line.seed);
  server.price = kFirstPrice;
  if (line.kind == TargetKind::kReportServer) {
    server.report = tools::MakeReport(line.name, tools::kReportSize);
    server.report_digest = XXH3_64bits(server.report.data(), server.report.size());
  }
  auto context = Context(coap_new_context(nullptr));
  if (!context) return false;
  coap_set_app_data(context.get(), &server);
  coap_register_event_handler(context.get(), OnEvent);
  AddResources(context.get(), server);
  if (!Listen(context.get(), line.listen)) return false;
  Serve(context.get(), server, [] { return tools::StopRequested(); });
  Drain(context.get(), server);
  return true;
}

}  // namespace anvildrum::target
