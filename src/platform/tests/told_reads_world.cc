#include "platform/tests/told_reads_world.h"

#include <algorithm>

namespace anvildrum::platform {
namespace {

using base::Duration;
using base::milliseconds;
using base::seconds;
using base::TimePoint;

constexpr auto kStart = TimePoint{seconds{1000}};
constexpr auto kStep = milliseconds{5};
constexpr auto kCall = milliseconds{10};  // of a read, until its answer
constexpr auto kHelloEvery = seconds{1};
constexpr auto kHeardFor = seconds{5};
constexpr auto kSeeds = std::size_t{3};
constexpr auto kVersionEvery = seconds{4};  // at most
constexpr auto kCalmAfter = seconds{1};     // of running on, an instance has to keep up
constexpr auto kPauseEvery = milliseconds{300};

}  // namespace

ToldReadsWorld::ToldReadsWorld(const ToldReadsOptions& options)
    : options(options),
      random(options.seed),
      instances(options.instances),
      replaced_at(2, TimePoint::max()),
      now(kStart),
      next_version(kStart + kVersionEvery),
      next_pause(kStart + kVersionEvery) {
  for (auto& instance : this->instances) {
    instance.reads = MakeSharedReads({}, this->random());
    instance.reads.due_at = kStart;
    instance.marks = {.origin = static_cast<std::uint32_t>(this->random()), .started = kStart};
    instance.next_hello = kStart + this->Draw(kHelloEvery);
  }
}

auto ToldReadsWorld::RunFor(Duration duration) -> void {
  const auto until = this->now + duration;
  for (; this->now < until; this->now += kStep) this->Step();
}

auto ToldReadsWorld::MostTooNew() const -> std::int64_t {
  return this->most_too_new / base::microseconds{1};
}

auto ToldReadsWorld::MostBehind() const -> std::int64_t {
  return this->most_behind / base::milliseconds{1};
}

auto ToldReadsWorld::Calls() const -> std::uint64_t { return this->calls; }

auto ToldReadsWorld::Step() -> void {
  if (this->now >= this->next_version) {
    this->replaced_at.back() = this->now;
    this->replaced_at.push_back(TimePoint::max());
    this->next_version = this->now + this->Draw(kVersionEvery);
  }
  if (this->options.pause > Duration{} && this->now >= this->next_pause) {
    auto& paused = this->instances[this->random() % this->instances.size()];
    paused.paused_until = this->now + this->options.pause;
    this->next_pause = this->now + kPauseEvery;
  }
  for (auto index = std::size_t{0}; index < this->instances.size(); ++index) {
    auto& instance = this->instances[index];
    if (this->now < instance.paused_until) continue;
    this->Receive(index);
    this->Read(index);
    if (this->now >= instance.next_hello) {
      instance.next_hello = this->now + kHelloEvery;
      this->SayHello(index);
    }
    this->Check(instance);
  }
}

auto ToldReadsWorld::Read(std::size_t index) -> void {
  auto& instance = this->instances[index];
  if (IsReadDue(instance.reads, this->now)) {
    BeginRead(instance.reads, this->now);
    instance.read_brings = this->replaced_at.size() - 1;
    ++this->calls;
  }
  if (!instance.reads.began_at || this->now - *instance.reads.began_at < kCall) return;
  instance.known = std::max(instance.known, instance.read_brings);
  EndRead(instance.reads, this->now);
  this->SayHello(index);
}

auto ToldReadsWorld::Receive(std::size_t index) -> void {
  auto& socket = this->instances[index].socket;
  const auto arrived = [&](const Told& told) { return told.arrives_at <= this->now; };
  const auto first_missing = std::stable_partition(socket.begin(), socket.end(), arrived);
  const auto read = std::deque<Told>(socket.begin(), first_missing);
  socket.erase(socket.begin(), first_missing);
  for (const auto& told : read) this->Take(index, told);
}

auto ToldReadsWorld::Take(std::size_t index, const Told& told) -> void {
  auto& instance = this->instances[index];
  instance.heard[told.from] = {.mark = told.mark, .at = this->now};
  if (told.known > std::max(instance.known, instance.hastened_for)) {
    instance.hastened_for = told.known;
    HastenRead(instance.reads, this->now);
  }
  if (told.known != instance.known || !told.confirmed_ago || !told.echo) return;
  const auto sent = base::SentNotBefore(instance.marks, *told.echo, this->now);
  if (!sent) return;
  const auto before = instance.reads.confirmed_at;
  TakeConfirmation(instance.reads, *sent - *told.confirmed_ago, this->now);
  const auto gained = before ? *instance.reads.confirmed_at - *before : Duration{};
  if (index < kSeeds && gained > instance.reads.policy.fresh_for / 2) this->SayHello(index);
}

auto ToldReadsWorld::SayHello(std::size_t index) -> void {
  auto& instance = this->instances[index];
  std::erase_if(instance.heard,
                [&](const auto& entry) { return this->now - entry.second.at > kHeardFor; });
  for (auto to = std::size_t{0}; to < this->instances.size(); ++to) {
    if (to == index || (to >= kSeeds && !instance.heard.contains(to))) continue;
    auto& told = this->instances[to].socket.emplace_back();
    told.from = index;
    told.known = instance.known;
    if (const auto age = AgeOf(instance.reads, this->now)) {
      told.confirmed_ago = std::chrono::ceil<milliseconds>(*age);
    }
    told.mark = base::MarkAt(instance.marks, this->now);
    const auto heard = instance.heard.find(to);
    if (heard != instance.heard.end()) {
      told.echo = base::EchoOf(heard->second, this->now);
      if (told.echo) told.echo->held = std::chrono::floor<milliseconds>(told.echo->held);
    }
    told.arrives_at = this->now + this->options.way + this->Draw(this->options.way_more);
  }
}

auto ToldReadsWorld::Check(const Instance& instance) -> void {
  if (!instance.reads.confirmed_at) return;
  const auto replaced = this->replaced_at[instance.known];
  this->most_too_new = std::max(this->most_too_new, *instance.reads.confirmed_at - replaced);
  const auto calm_since = std::max(instance.paused_until + kCalmAfter, replaced);
  if (replaced < this->now) this->most_behind = std::max(this->most_behind, this->now - calm_since);
}

auto ToldReadsWorld::Draw(Duration most) -> Duration {
  return Duration{std::uniform_int_distribution<Duration::rep>{0, most.count()}(this->random)};
}

}  // namespace anvildrum::platform
