#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>

#include "base/result.h"
#include "base/types/endpoint.h"
#include "platform_standin/api.h"

namespace anvildrum::platform_standin {

enum class ServerErrorCode { kCannotListen };

struct ServerError {
  ServerErrorCode code = ServerErrorCode::kCannotListen;
  int system_code = 0;  ///< errno
};

struct ServerCore;

/// The stand-in's HTTP/1.1 server, on one thread. Its destructor closes all connections.
class Server {
 public:
  explicit Server(boost::asio::io_context& context);
  ~Server();
  Server(const Server&) = delete;
  auto operator=(const Server&) -> Server& = delete;

  /// Binds (port 0: any free one) and returns where it listens. Errors: ServerError.
  auto Listen(const base::Endpoint& endpoint) -> base::Result<base::Endpoint>;

  /// Closes the listening socket and all connections.
  auto Stop() -> void;

  /// The state behind the API; a caller on the same thread may read and change it.
  auto State() -> Platform&;

 private:
  std::shared_ptr<ServerCore> core;
};

}  // namespace anvildrum::platform_standin
