#include "packetd/machine_probes.h"

#include <boost/asio/error.hpp>
#include <utility>

#include "base/clock.h"
#include "base/tcp_endpoint.h"

namespace anvildrum::packetd {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// A machine answers within one round trip, some milliseconds. The first packet of an attempt may be
// lost, and the operating system retransmits it only after a second, so a second attempt follows.
constexpr auto kAnswerWithin = base::milliseconds{300};
constexpr auto kAttempts = 2U;

// Largest number of concurrent probes. It allows probing a failure domain of hundreds of machines
// within some seconds.
constexpr auto kMaxProbes = std::size_t{256};

}  // namespace

MachineProbes::MachineProbes(asio::io_context& io, std::uint16_t port, OnEnd on_end)
    : io(io), port(port), on_end(std::move(on_end)) {}

auto MachineProbes::FreeSlots() const -> std::size_t { return kMaxProbes - this->probes.size(); }

auto MachineProbes::Begin(packets::Address machine) -> void {
  if (this->FreeSlots() == 0 || this->probes.contains(machine)) return;
  auto probe = std::make_shared<Probe>(this->io);
  probe->began = base::Now();
  this->probes.emplace(machine, probe);
  this->Connect(machine, probe);
}

// Closing the socket cancels the previous attempt, whose handlers are called with
// operation_aborted.
auto MachineProbes::Connect(packets::Address machine, const std::shared_ptr<Probe>& probe) -> void {
  ++probe->attempt;
  auto ignored_error = error_code{};
  probe->socket.close(ignored_error);
  probe->socket.async_connect(base::ToTcp(base::EndpointFromV4(machine, this->port)),
                              [this, machine, probe](const error_code& error) {
                                if (error == asio::error::operation_aborted) return;
                                this->End(machine,
                                          !error || error == asio::error::connection_refused);
                              });
  probe->timer.expires_after(kAnswerWithin);
  probe->timer.async_wait([this, machine, probe](const error_code& error) {
    if (error) return;
    if (probe->attempt < kAttempts) return this->Connect(machine, probe);
    this->End(machine, false);
  });
}

auto MachineProbes::End(packets::Address machine, bool answered) -> void {
  const auto entry = this->probes.find(machine);
  if (entry == this->probes.end()) return;
  const auto probe = entry->second;
  this->probes.erase(entry);
  probe->timer.cancel();
  auto ignored_error = error_code{};
  probe->socket.close(ignored_error);
  this->on_end(machine, probe->began, answered);
}

}  // namespace anvildrum::packetd
