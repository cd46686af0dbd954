#pragma once

#include <boost/asio/execution_context.hpp>
#include <functional>
#include <memory>
#include <vector>

namespace anvildrum::net::internal {

/// What has datagrams waiting to leave.
struct Flushable {
  Flushable() = default;
  Flushable(const Flushable&) = delete;
  auto operator=(const Flushable&) -> Flushable& = delete;
  virtual ~Flushable() = default;
  virtual auto Flush() -> void = 0;
};

/// The ports of one io_context to which the handler under way has sent. They are flushed as soon as
/// that handler returns, rather than by a posted handler, for which the io_context would ask the
/// system for events once more. Used from the io_context's one thread.
class SendQueue : public boost::asio::execution_context::service {
 public:
  using key_type =
      SendQueue;  // NOLINT(readability-identifier-naming): the name that Asio looks for
  static inline boost::asio::execution_context::id id;

  explicit SendQueue(boost::asio::execution_context& context)
      : boost::asio::execution_context::service(context) {}

  /// While a handler runs, ports are kept until it has ended.
  auto Begin() -> void { this->open = true; }
  [[nodiscard]] auto IsOpen() const -> bool { return this->open; }
  auto Add(std::shared_ptr<Flushable> port) -> void { this->ports.push_back(std::move(port)); }

  auto End() -> void {
    this->open = false;
    for (const auto& port : this->ports) port->Flush();
    this->ports.clear();
  }

 private:
  auto shutdown() -> void override { this->ports.clear(); }  // NOLINT: the name that Asio calls

  bool open = false;
  std::vector<std::shared_ptr<Flushable>> ports;
};

}  // namespace anvildrum::net::internal
