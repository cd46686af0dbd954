#include "platform/conditional_writer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <set>
#include <utility>

#include "base/clock.h"

namespace anvildrum::platform {

struct RunningWrite;

struct ConditionalWriterCore {
  boost::asio::io_context& context;
  Client& client;
  WritePolicy policy;
  std::uint64_t next_seed = 0;
  std::set<std::shared_ptr<RunningWrite>> running = {};
};

/// One write under way. Its callbacks hold it weakly, so that it ends with its writer.
struct RunningWrite : std::enable_shared_from_this<RunningWrite> {
  RunningWrite(ConditionalWriterCore& owner, ConditionalWrite given, WriteDone callback)
      : core(owner), write(std::move(given)), timer(owner.context), done(std::move(callback)) {}

  auto Apply(const WriteEffects& effects) -> void;
  auto Take(const WriteEvent& event) -> void;
  auto Send(const WriteCall& call) -> void;
  auto End(const WriteResult& result) -> void;

  ConditionalWriterCore& core;
  ConditionalWrite write;
  boost::asio::steady_timer timer;
  WriteDone done;
};

auto RunningWrite::Apply(const WriteEffects& effects) -> void {
  auto weak = this->weak_from_this();
  if (effects.done) return this->End(*effects.done);
  if (effects.write) return this->Send(*effects.write);
  if (effects.read) {
    return this->core.client.List(this->write.key, [weak](Outcome<Listing> outcome) {
      if (auto self = weak.lock()) self->Take(ReadAnswered{std::move(outcome)});
    });
  }
  this->timer.expires_after(effects.wait.value_or(base::Duration{}));
  this->timer.async_wait([weak](auto error) {
    auto self = weak.lock();
    if (!error && self) self->Take(WriteTimerFired{});
  });
}

auto RunningWrite::Take(const WriteEvent& event) -> void {
  this->Apply(Step(this->write, event, base::Now()));
}

auto RunningWrite::Send(const WriteCall& call) -> void {
  auto weak = this->weak_from_this();
  if (call.value) {
    auto put_done = [weak](Outcome<std::uint64_t> outcome) {
      if (auto self = weak.lock()) self->Take(WriteAnswered{std::move(outcome)});
    };
    return this->core.client.Put(this->write.key, *call.value, call.precondition, put_done);
  }
  auto delete_done = [weak](const Outcome<std::monostate>& outcome) {
    auto self = weak.lock();
    if (!self) return;
    const auto* error = std::get_if<PlatformError>(&outcome);
    if (error != nullptr) return self->Take(WriteAnswered{*error});
    self->Take(WriteAnswered{std::uint64_t{0}});
  };
  auto condition = std::get<IfMatch>(call.precondition);
  this->core.client.Delete(this->write.key, condition, delete_done);
}

auto RunningWrite::End(const WriteResult& result) -> void {
  auto self = this->shared_from_this();
  this->core.running.erase(self);
  this->done(result);
}

ConditionalWriter::ConditionalWriter(boost::asio::io_context& context, Client& client,
                                     const WritePolicy& policy, std::uint64_t seed)
    : core(std::make_shared<ConditionalWriterCore>(
          ConditionalWriterCore{context, client, policy, seed})) {}

ConditionalWriter::~ConditionalWriter() = default;

auto ConditionalWriter::Write(std::string_view key, Propose propose, WriteDone done) -> void {
  auto& owner = *this->core;
  auto write = MakeConditionalWrite(key, std::move(propose), owner.policy, owner.next_seed++);
  auto running = std::make_shared<RunningWrite>(owner, std::move(write), std::move(done));
  owner.running.insert(running);
  running->Apply(Begin(running->write, base::Now()));
}

}  // namespace anvildrum::platform
