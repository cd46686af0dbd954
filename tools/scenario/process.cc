#include "scenario/process.h"

#include <algorithm>
#include <utility>

namespace anvildrum::scenario {
namespace {

// A stopped process's socket buffers hold this much; the rest is lost.
constexpr auto kMostBacklog = std::size_t{512};

auto IsLater(const Clock::Entry& left, const Clock::Entry& right) -> bool {
  if (left.at != right.at) return left.at > right.at;
  return left.sequence > right.sequence;
}

}  // namespace

auto After(Clock& clock, base::Duration delay, Action action) -> void {
  clock.heap.push_back({clock.now + delay, clock.sequence++, std::move(action)});
  std::push_heap(clock.heap.begin(), clock.heap.end(), IsLater);
}

auto RunUntil(Clock& clock, base::TimePoint until) -> void {
  while (!clock.heap.empty() && clock.heap.front().at <= until) {
    std::pop_heap(clock.heap.begin(), clock.heap.end(), IsLater);
    auto entry = std::move(clock.heap.back());
    clock.heap.pop_back();
    clock.now = entry.at;
    entry.action();
  }
  clock.now = until;
}

auto AfterIn(Clock& clock, Process& process, base::Duration delay, Action action) -> void {
  auto run = [&process, life = process.life, action = std::move(action)] {
    if (process.life != life) return;
    if (!process.frozen) return action();
    process.backlog.push_back(action);
  };
  After(clock, delay, std::move(run));
}

auto Receive(Process& process, Action action) -> void {
  if (!process.up) return;
  if (!process.frozen) return action();
  if (process.backlog.size() < kMostBacklog) process.backlog.push_back(std::move(action));
}

auto StartProcess(Process& process) -> void {
  process.up = true;
  process.frozen = false;
  process.backlog.clear();
  ++process.life;
}

auto EndProcess(Process& process) -> void {
  process.up = false;
  process.frozen = false;
  process.backlog.clear();
  ++process.life;
}

auto Freeze(Process& process) -> void { process.frozen = true; }

auto Wake(Process& process) -> void {
  if (!process.frozen) return;
  process.frozen = false;
  auto backlog = std::exchange(process.backlog, {});
  auto life = process.life;
  for (const auto& action : backlog) {
    if (process.life == life) action();
  }
}

}  // namespace anvildrum::scenario
