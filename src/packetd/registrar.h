#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "packetd/types/platform_clients.h"
#include "platform/backoff.h"

namespace anvildrum::packetd {

struct RegistrarCore;

/// Keeps one object at the platform as it should be: there with a value, or absent. Calls that fail
/// are repeated with backoff until the platform answers; a creation that took effect without an
/// answer is found by the conflict that its repetition meets.
class Registrar {
 public:
  /// `seed` is of the backoff's jitter and has to differ between instances.
  Registrar(boost::asio::io_context& io, const PlatformClients& clients, std::string key,
            std::uint64_t seed);
  ~Registrar();
  Registrar(const Registrar&) = delete;
  auto operator=(const Registrar&) -> Registrar& = delete;

  auto Keep(std::string value) -> void;
  auto Remove() -> void;

  /// An earlier process has probably written the object: it is looked for before it is created.
  auto ExpectObject() -> void;

  /// Whether the platform answers others. Where it doesn't, calls wait until it does, ten seconds
  /// at most.
  ///
  /// Safeguard: calls of agents that start in an outage would grow with their number and its
  /// length.
  auto SetPlatformAnswers(bool answers) -> void;

  /// Whether the platform has confirmed what was asked last.
  [[nodiscard]] auto IsSettled() const -> bool;

 private:
  std::shared_ptr<RegistrarCore> core;
};

}  // namespace anvildrum::packetd
