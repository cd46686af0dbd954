#include "platform/prefix_watcher.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "base/clock.h"

namespace anvildrum::platform {

struct PrefixWatcherCore : std::enable_shared_from_this<PrefixWatcherCore> {
  PrefixWatcherCore(boost::asio::io_context& context, Client& given,
                    const PrefixWatcherSettings& settings, PrefixWatcherCallbacks wanted)
      : timer(context),
        client(given),
        callbacks(std::move(wanted)),
        watch(MakePrefixWatch(settings.prefix, settings.policy, settings.seed)) {}

  auto Apply(const WatchEffects& effects) -> void;
  auto Tell(const WatchEffects& effects) -> void;
  auto Take(const WatchEvent& event) -> void;
  auto Start(const StartTimer& start) -> void;
  auto Start(const StartList& start) -> void;
  auto Start(const StartWatch& start) -> void;

  boost::asio::steady_timer timer;
  Client& client;
  PrefixWatcherCallbacks callbacks;
  PrefixWatch watch;
  bool stopped = false;
};

auto PrefixWatcherCore::Apply(const WatchEffects& effects) -> void {
  auto self = this->shared_from_this();
  this->Tell(effects);
  if (this->stopped) return;
  std::visit([this](const auto& start) { this->Start(start); }, effects.next);
}

auto PrefixWatcherCore::Tell(const WatchEffects& effects) -> void {
  for (const auto& change : effects.changes) {
    if (this->stopped) return;
    this->callbacks.on_change(change);
  }
  if (this->stopped || !effects.synced || !this->callbacks.on_synced) return;
  this->callbacks.on_synced(*effects.synced);
}

auto ErrorIn(const WatchEvent& event) -> const PlatformError* {
  if (const auto* listed = std::get_if<Listed>(&event)) {
    return std::get_if<PlatformError>(&listed->outcome);
  }
  if (const auto* watched = std::get_if<Watched>(&event)) {
    return std::get_if<PlatformError>(&watched->outcome);
  }
  return nullptr;
}

auto PrefixWatcherCore::Take(const WatchEvent& event) -> void {
  if (this->stopped) return;
  const auto answered = !std::holds_alternative<WatchTimerFired>(event);
  if (answered && this->callbacks.on_answer) this->callbacks.on_answer(ErrorIn(event));
  if (this->stopped) return;
  auto effects = Step(this->watch, event, base::Now());
  if (effects) this->Apply(*effects);
}

auto PrefixWatcherCore::Start(const StartTimer& start) -> void {
  this->timer.expires_after(start.delay);
  this->timer.async_wait([weak = this->weak_from_this(), call = start.call](auto error) {
    auto self = weak.lock();
    if (!error && self) self->Take(WatchTimerFired{call});
  });
}

auto PrefixWatcherCore::Start(const StartList& start) -> void {
  auto done = [weak = this->weak_from_this(), call = start.call](Outcome<Listing> outcome) {
    if (auto self = weak.lock()) self->Take(Listed{call, std::move(outcome)});
  };
  this->client.List(this->watch.prefix, std::move(done));
}

auto PrefixWatcherCore::Start(const StartWatch& start) -> void {
  auto done = [weak = this->weak_from_this(), call = start.call](Outcome<Listing> outcome) {
    if (auto self = weak.lock()) self->Take(Watched{call, std::move(outcome)});
  };
  this->client.Watch(this->watch.prefix, start.after, start.hold, std::move(done));
}

PrefixWatcher::PrefixWatcher(boost::asio::io_context& context, Client& client,
                             const PrefixWatcherSettings& settings,
                             PrefixWatcherCallbacks callbacks)
    : core(std::make_shared<PrefixWatcherCore>(context, client, settings, std::move(callbacks))) {
  this->core->Apply(Begin(this->core->watch));
}

PrefixWatcher::~PrefixWatcher() {
  this->core->stopped = true;
  this->core->timer.cancel();
}

auto PrefixWatcher::SetRetryWithin(base::Duration within) -> void {
  this->core->watch.backoff.policy = {.first = within, .cap = within};
}

auto PrefixWatcher::Hasten(base::Duration within) -> void {
  const auto effects = platform::Hasten(this->core->watch, within);
  if (effects) this->core->Apply(*effects);
}

auto PrefixWatcher::Revision() const -> std::uint64_t { return this->core->watch.revision; }

auto PrefixWatcher::Counters() const -> const WatchCounters& { return this->core->watch.counters; }

}  // namespace anvildrum::platform
