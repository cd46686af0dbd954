#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "platform/client.h"
#include "platform/conditional_write.h"

namespace anvildrum::platform {

using WriteDone = std::function<void(const WriteResult&)>;

struct ConditionalWriterCore;

/// Runs conditional writes over a Client with timers, any number at once. Its destructor ends those
/// that run: their callbacks are not called, and they may have taken effect. The client has to
/// outlive it.
class ConditionalWriter {
 public:
  /// `seed` is of the jitter and has to differ between instances.
  ConditionalWriter(boost::asio::io_context& context, Client& client, const WritePolicy& policy,
                    std::uint64_t seed);
  ~ConditionalWriter();
  ConditionalWriter(const ConditionalWriter&) = delete;
  auto operator=(const ConditionalWriter&) -> ConditionalWriter& = delete;

  auto Write(std::string_view key, Propose propose, WriteDone done) -> void;

 private:
  std::shared_ptr<ConditionalWriterCore> core;
};

}  // namespace anvildrum::platform
