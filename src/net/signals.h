#pragma once

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace anvildrum::net {

/// Calls back once at the first SIGTERM or SIGINT. From then on these and SIGHUP are ignored until
/// the process has ended, so that no later signal can cut the graceful stop that the first one
/// began.
class StopSignal {
 public:
  using OnStop = std::function<void(int signal)>;

  StopSignal(boost::asio::io_context& io, OnStop on_stop);
  StopSignal(const StopSignal&) = delete;
  auto operator=(const StopSignal&) -> StopSignal& = delete;
  ~StopSignal();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace anvildrum::net
