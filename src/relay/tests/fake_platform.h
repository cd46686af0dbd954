#pragma once

#include <string>

#include "relay/tests/fleet.h"

/// The fake platform's side of the relay's effects.
namespace anvildrum::relay::fleet {

auto ToObject(const std::string& key, const FakeObject& object) -> PlatformObject;

auto BeginWatch(Fleet& fleet, std::size_t index, const StartWatch& watch, std::uint64_t token)
    -> void;
auto BeginPoll(Fleet& fleet, std::size_t index, const PollPlatform& poll) -> void;
auto BeginRead(Fleet& fleet, std::size_t index, const ReadConfiguration& read) -> void;
auto BeginDelete(Fleet& fleet, std::size_t index, const DeleteRecord& request) -> void;

}  // namespace anvildrum::relay::fleet
