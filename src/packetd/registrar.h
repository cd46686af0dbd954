#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "packetd/types/platform_clients.h"
#include "platform/backoff.h"

namespace anvildrum::packetd {

struct RegistrarCore;

/// Called when the platform has confirmed a requested value. `written` says that a write of this
/// process has put it in place of another value or of none.
using OnKept = std::function<void(std::string_view value, bool written)>;

/// Maintains one object at the platform: present with a given value, or absent. Failed calls are
/// retried with backoff until the platform answers. If a creation took effect but its answer was
/// lost, the retry fails with a conflict, and the object is read.
class Registrar {
 public:
  /// `seed` seeds the backoff's jitter and has to differ between instances.
  Registrar(boost::asio::io_context& io, const PlatformClients& clients, std::string key,
            std::uint64_t seed, OnKept on_kept);
  ~Registrar();
  Registrar(const Registrar&) = delete;
  auto operator=(const Registrar&) -> Registrar& = delete;

  auto Keep(std::string value) -> void;
  auto Remove() -> void;

  /// States that an earlier process has probably written the object, so that it is read before a
  /// creation is tried.
  auto ExpectObject() -> void;

  /// Sets whether the platform answers other instances. While it does not, calls wait for it, ten
  /// seconds at most.
  ///
  /// Safeguard: otherwise the calls of agents that start in an outage would grow with the number of
  /// agents and the length of the outage.
  auto SetPlatformAnswers(bool answers) -> void;

  /// Whether the platform has confirmed the last requested state.
  [[nodiscard]] auto IsSettled() const -> bool;

 private:
  std::shared_ptr<RegistrarCore> core;
};

}  // namespace anvildrum::packetd
