#include "ctl/internal/ask_each.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace anvildrum::ctl {
namespace {

constexpr auto kWorkers = std::size_t{16};

}  // namespace

auto AskEach(std::size_t count, const std::function<void(std::size_t)>& ask) -> void {
  auto next = std::atomic<std::size_t>{0};
  auto work = [&] {
    for (auto i = next++; i < count; i = next++) ask(i);
  };
  auto workers = std::vector<std::thread>{};
  for (auto i = std::size_t{0}; i < std::min(kWorkers, count); ++i) workers.emplace_back(work);
  for (auto& worker : workers) worker.join();
}

}  // namespace anvildrum::ctl
