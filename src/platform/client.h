#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/time.h"
#include "platform/call_budget.h"
#include "platform/dialect.h"
#include "platform/types/object.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

/// Client of the platform's object API (docs/ARCHITECTURE.md gives the API), and the logic round it
/// that has no input or output: backoff, call budget, conditional writes, watches of a prefix.
namespace anvildrum::platform {

struct ClientSettings {
  /// Tried in turn; the one that answers is kept until it stops doing so.
  std::vector<base::Endpoint> endpoints;
  base::Duration connect_timeout = base::seconds(1);
  base::Duration call_timeout = base::seconds(5);   ///< till an answer begins, between parts
  base::Duration idle_timeout = base::seconds(10);  ///< older idle connections are not reused
  std::size_t max_answer_bytes = std::size_t{64} * 1024 * 1024;
  /// Of an answer to a list, unless one object is longer. A list of a whole fleet has to fit the
  /// burst of reads, since a page over the budget fails it.
  std::size_t list_page_bytes = 900'000;
  BudgetPolicy budget;
  const Dialect* dialect = nullptr;  ///< null: the product's own object API
};

struct ClientCore;

/// The first bytes of an answer have come; it is awaited until it ends or stops coming.
using OnBegun = std::function<void()>;

/// Owner of the connections. A connection carries one call at a time, is kept alive and reused; a
/// waiting watch has one to itself. All calls return at once and call back on the io_context's
/// thread. After destruction no callback runs. Not safe to share between threads.
///
/// A read is sent again once when a reused connection turns out to be closed; a write never is,
/// because it may have taken effect: use WriteConditionally, which settles that.
class Client {
 public:
  Client(boost::asio::io_context& context, ClientSettings settings);
  ~Client();
  Client(Client&&) noexcept;
  auto operator=(Client&&) noexcept -> Client&;

  auto Get(std::string_view key, Callback<Object> callback) -> void;

  /// Calls back with the new revision. `value` is JSON text of at most a mebibyte.
  auto Put(std::string_view key, std::string_view value, const Precondition& precondition,
           Callback<std::uint64_t> callback) -> void;

  auto Delete(std::string_view key, IfMatch precondition, Callback<std::monostate> callback)
      -> void;

  /// Asks page after page; each is a call of the budget. All objects as of the revision given, some
  /// of them newer: a watch from that revision tells what changed meanwhile.
  auto List(std::string_view prefix, Callback<Listing> callback, OnBegun on_begun = {}) -> void;

  /// Changes newer than `after`, held open for up to `hold`, then an empty listing. Fails with
  /// kTimeout when no answer begins within `hold` and the call timeout together.
  auto Watch(std::string_view prefix, std::uint64_t after, base::Duration hold,
             Callback<Listing> callback, OnBegun on_begun = {}) -> void;

  auto Counts() const -> const CallCounts&;

  /// Whether a part of the answer to a Get has come, and the rest is awaited.
  [[nodiscard]] auto IsReceivingObject() const -> bool;

 private:
  std::shared_ptr<ClientCore> core;
};

/// Builds a Client step by step.
struct ClientBuilder {
  ClientSettings settings;

  auto WithEndpoint(const base::Endpoint& endpoint) -> ClientBuilder& {
    this->settings.endpoints.push_back(endpoint);
    return *this;
  }
  auto WithCallTimeout(base::Duration timeout) -> ClientBuilder& {
    this->settings.call_timeout = timeout;
    return *this;
  }
  auto WithListPage(std::size_t bytes) -> ClientBuilder& {
    this->settings.list_page_bytes = bytes;
    return *this;
  }
  auto WithBudget(const BudgetPolicy& budget) -> ClientBuilder& {
    this->settings.budget = budget;
    return *this;
  }
  /// `dialect` has to outlive the client.
  auto WithDialect(const Dialect& dialect) -> ClientBuilder& {
    this->settings.dialect = &dialect;
    return *this;
  }
  auto Build(boost::asio::io_context& context) const -> Client { return {context, this->settings}; }
};

}  // namespace anvildrum::platform
