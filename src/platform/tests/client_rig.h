#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <utility>

#include "platform/client.h"
#include "platform_standin/server.h"

namespace anvildrum::platform {

/// A wide limit; a run ends when its condition holds.
inline constexpr auto kLongest = base::seconds(30);

/// The stand-in and a client of it on one thread.
struct ClientRig {
  boost::asio::io_context context{1};
  std::optional<platform_standin::Server> server{std::in_place, this->context};
  base::Endpoint endpoint = this->server->Listen(base::EndpointFromV4(0x7f000001, 0)).value();
  Client client =
      ClientBuilder{}.WithEndpoint(this->endpoint).WithBudget(kWideBudget).Build(this->context);

  static constexpr auto kWideBudget = BudgetPolicy{{1e6, 1e6}, {1e6, 1e6}, {1e6, 1e6}};

  auto Faults() -> platform_standin::Faults& { return this->server->State().faults; }
  auto Store() -> platform_standin::Store& { return this->server->State().store; }
  auto Counts() -> platform_standin::CallCounts& { return this->server->State().counts; }

  /// A restart of the platform: all connections end, the state and the address stay.
  auto RestartServer() -> void {
    auto state = this->server->State();
    this->server.emplace(this->context);
    this->server->State() = std::move(state);
    this->server->Listen(this->endpoint).value();
  }

  auto RunUntil(const std::function<bool()>& condition) -> void {
    auto deadline = base::Clock::now() + kLongest;
    while (!condition()) {
      BOOST_REQUIRE(base::Clock::now() < deadline);
      this->context.restart();
      this->context.run_one_for(base::milliseconds(10));
    }
  }

  /// Runs one call to its outcome: `start` is given the callback to pass on.
  template <typename T>
  auto Await(const std::function<void(Callback<T>)>& start) -> Outcome<T> {
    auto outcome = std::optional<Outcome<T>>{};
    start([&](Outcome<T> given) { outcome = std::move(given); });
    this->RunUntil([&] { return outcome.has_value(); });
    return *outcome;
  }

  auto Get(std::string_view key) -> Outcome<Object> {
    return this->Await<Object>([&](auto done) { this->client.Get(key, done); });
  }
  auto Put(std::string_view key, std::string_view value, const Precondition& precondition)
      -> Outcome<std::uint64_t> {
    return this->Await<std::uint64_t>(
        [&](auto done) { this->client.Put(key, value, precondition, done); });
  }
};

template <typename T>
auto CodeOf(const Outcome<T>& outcome) -> std::optional<PlatformErrorCode> {
  const auto* error = std::get_if<PlatformError>(&outcome);
  if (error == nullptr) return std::nullopt;
  return error->code;
}

}  // namespace anvildrum::platform
