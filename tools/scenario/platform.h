#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/types/time.h"
#include "platform/conditional_write.h"
#include "platform/types/object.h"
#include "platform_standin/store.h"

namespace anvildrum::scenario {

struct World;

/// The platform: the stand-in's store behind calls that take time, fail or lose their answers.
struct FakePlatform {
  struct Watch {
    std::string process;
    std::uint64_t life = 0;  ///< of the process
    std::uint64_t after = 0;
    platform::Callback<platform::Listing> done;
    std::uint64_t id = 0;
  };
  platform_standin::Store store;
  bool up = true;
  double lost_answers = 0;        ///< share of writes that take effect and whose answer is lost
  base::Duration delete_delay{};  ///< on the way of a delete to the store
  std::vector<Watch> watches;
  std::uint64_t next_watch = 0;
  std::map<std::int64_t, std::uint64_t> calls;  ///< by second since the start
};

/// Calls of a process. The callbacks run in it, and not at all when it has ended by then.
auto List(World& world, const std::string& process, const std::string& prefix,
          const platform::Callback<platform::Listing>& done) -> void;
auto Watch(World& world, const std::string& process, std::uint64_t after, base::Duration timeout,
           const platform::Callback<platform::Listing>& done) -> void;
auto Put(World& world, const std::string& process, const std::string& key, const std::string& value,
         const platform::Precondition& precondition, const platform::Callback<std::uint64_t>& done)
    -> void;
auto Delete(World& world, const std::string& process, const std::string& key,
            std::uint64_t if_revision, const platform::Callback<std::monostate>& done) -> void;

auto SetPlatformUp(World& world, bool up) -> void;
auto ValueOf(const FakePlatform& platform, std::string_view key) -> std::string;

/// A write by conditional update, through platform::ConditionalWrite as the daemon does it.
auto RunWrite(World& world, const std::string& process, const std::string& key,
              platform::Propose propose, const platform::WritePolicy& policy, std::uint64_t seed,
              std::function<void(const platform::WriteResult&)> done) -> void;

}  // namespace anvildrum::scenario
