#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/result.h"
#include "base/types/endpoint.h"
#include "base/types/time.h"
#include "net/types/net_error.h"

namespace boost::asio {
class io_context;
}

namespace anvildrum::net {

/// A request as a route sees it. The views live during the call only.
struct OperatorRequest {
  std::string_view method;  ///< "GET", "POST", ...
  std::string_view path;    ///< without the query
  std::string_view query;   ///< after "?", as sent
  std::string_view body;
};

struct OperatorResponse {
  unsigned status = 200;
  std::string content_type = "text/plain; charset=utf-8";
  std::string body;
};

struct OperatorPortOptions {
  base::Endpoint local = {};                        ///< port 0: the system picks one
  std::size_t max_body = std::size_t{1024} * 1024;  ///< bytes; a longer one gets 413
  std::size_t max_connections = 32;                 ///< further ones are closed at once
  base::Duration timeout = base::seconds{10};  ///< of a request, and between parts of an answer
};

struct OperatorPortCounts {
  std::uint64_t requests = 0;
  std::uint64_t malformed = 0;  ///< not HTTP, cut off, or a header over its limit
  std::uint64_t too_large = 0;  ///< a body over its limit
  std::uint64_t unknown_path = 0;
  std::uint64_t wrong_method = 0;  ///< for a path that is known
  std::uint64_t timed_out = 0;
  std::uint64_t turned_away = 0;  ///< over max_connections
};

/// The operator's HTTP/1.1 server (RFC 9112). Whatever a client sends, or leaves unsent, ends its
/// own connection at most.
class OperatorPort {
 public:
  using Handler = std::function<OperatorResponse(const OperatorRequest&)>;

  /// Errors: NetError kOpen, kOption, kBind.
  static auto Open(boost::asio::io_context& io, const OperatorPortOptions& options)
      -> base::Result<std::unique_ptr<OperatorPort>>;

  OperatorPort(const OperatorPort&) = delete;
  auto operator=(const OperatorPort&) -> OperatorPort& = delete;
  ~OperatorPort();

  /// Serves `path` with `method`. A path ending in "/" serves all paths below it; the longest match
  /// wins. No route for the path: 404; none for the method: 405.
  auto Route(std::string method, std::string path, Handler handler) -> void;

  [[nodiscard]] auto LocalEndpoint() const -> const base::Endpoint&;
  [[nodiscard]] auto Counts() const -> const OperatorPortCounts&;

 private:
  struct Impl;
  explicit OperatorPort(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace anvildrum::net
