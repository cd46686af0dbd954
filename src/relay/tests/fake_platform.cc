#include "relay/tests/fake_platform.h"

#include <algorithm>
#include <utility>

namespace anvildrum::relay::fleet {
namespace {

constexpr base::Duration kPlatformDelay = base::milliseconds(3);

auto Newer(const FakePlatform& platform, std::uint64_t than, bool complete) -> PlatformObjects {
  PlatformObjects answer{.objects = {}, .revision = platform.revision, .complete = complete};
  for (const auto& [key, object] : platform.objects) {
    const bool is_wanted = complete ? !object.deleted : object.revision > than;
    if (is_wanted) answer.objects.push_back(ToObject(key, object));
  }
  return answer;
}

auto CountCall(Fleet& fleet) -> void {
  ++fleet.platform.calls;
  const auto second = std::chrono::duration_cast<base::seconds>(fleet.now.time_since_epoch());
  ++fleet.platform.calls_by_second[second.count()];
}

auto HasObjects(const Event& answer) -> bool {
  const auto* objects = std::get_if<PlatformObjects>(&answer);
  return (objects != nullptr && !objects->objects.empty()) ||
         std::holds_alternative<ConfigurationRead>(answer);
}

/// From now until the whole answer has come over the caller's link.
auto TimeOf(Fleet& fleet, std::size_t index, const Event& answer) -> base::Duration {
  const base::Duration takes = fleet.platform.answer_takes;
  if (takes == base::Duration::zero() || !HasObjects(answer)) return kPlatformDelay;
  base::TimePoint& free_at = fleet.nodes[index].link_free_at;
  free_at = std::max(free_at, fleet.now + kPlatformDelay) + takes;
  return free_at - fleet.now;
}

/// Has `deliver` take the answer, and before it the word that it has begun.
auto Answer(Fleet& fleet, std::size_t index, PlatformCall call, Event answer,
            const std::function<void(const Event&)>& deliver) -> void {
  const base::Duration whole = TimeOf(fleet, index, answer);
  if (whole > kPlatformDelay) {
    ScheduleFor(fleet, index, kPlatformDelay, [deliver, call] { deliver(AnswerBegun{call}); });
  }
  ScheduleFor(fleet, index, whole, [deliver, answer = std::move(answer)] { deliver(answer); });
}

auto AnswerWatch(Fleet& fleet, std::size_t index, std::uint64_t token, Event answer) -> void {
  const auto deliver = [&fleet, index, token](const Event& event) {
    if (fleet.nodes[index].watch_token == token) Deliver(fleet, index, event);
  };
  Answer(fleet, index, PlatformCall::kWatch, std::move(answer), deliver);
}

auto IsPlatformUp(const Fleet& fleet, std::size_t index) -> bool {
  return !fleet.platform.down && fleet.nodes[index].reaches_platform;
}

auto AnswerWaiting(Fleet& fleet) -> void {
  const auto waiting = std::exchange(fleet.platform.waiting, {});
  for (const auto& [index, watch] : waiting) {
    AnswerWatch(fleet, index, watch.token, Newer(fleet.platform, watch.after, false));
  }
}

auto Write(Fleet& fleet, const std::string& key, FakeObject object) -> std::uint64_t {
  object.revision = ++fleet.platform.revision;
  fleet.platform.objects[key] = std::move(object);
  AnswerWaiting(fleet);
  return fleet.platform.revision;
}

}  // namespace

auto ToObject(const std::string& key, const FakeObject& object) -> PlatformObject {
  return {.key = key,
          .revision = object.revision,
          .deleted = object.deleted,
          .value = object.value,
          .number = object.number};
}

auto BeginWatch(Fleet& fleet, std::size_t index, const StartWatch& watch, std::uint64_t token)
    -> void {
  if (fleet.nodes[index].watch_token != token) return;
  CountCall(fleet);
  FakePlatform& platform = fleet.platform;
  if (!IsPlatformUp(fleet, index)) {
    return AnswerWatch(fleet, index, token, PlatformFailed{PlatformCall::kWatch, false});
  }
  if (platform.hangs) return;
  if (watch.after < platform.kept_from) {
    return AnswerWatch(fleet, index, token, PlatformFailed{PlatformCall::kWatch, true});
  }
  if (platform.revision > watch.after) {
    return AnswerWatch(fleet, index, token, Newer(platform, watch.after, false));
  }
  platform.waiting[index] = {.after = watch.after, .token = token};
  ScheduleFor(fleet, index, watch.timeout, [&fleet, index, token] {
    const auto found = fleet.platform.waiting.find(index);
    if (found == fleet.platform.waiting.end() || found->second.token != token) return;
    fleet.platform.waiting.erase(found);
    AnswerWatch(fleet, index, token, Newer(fleet.platform, fleet.platform.revision, false));
  });
}

auto BeginPoll(Fleet& fleet, std::size_t index, const PollPlatform& poll) -> void {
  ScheduleFor(fleet, index, poll.delay, [&fleet, index] {
    CountCall(fleet);
    const auto deliver = [&fleet, index](const Event& event) { Deliver(fleet, index, event); };
    const bool is_up = IsPlatformUp(fleet, index);
    const Event answer = is_up ? Event(Newer(fleet.platform, 0, true))
                               : Event(PlatformFailed{PlatformCall::kPoll, false});
    Answer(fleet, index, PlatformCall::kPoll, answer, deliver);
  });
}

auto BeginRead(Fleet& fleet, std::size_t index, const ReadConfiguration& read) -> void {
  ScheduleFor(fleet, index, read.delay, [&fleet, index] {
    CountCall(fleet);
    if (!IsPlatformUp(fleet, index)) return;
    for (const PlatformObject& object : Newer(fleet.platform, 0, true).objects) {
      if (object.key != kConfigKey) continue;
      const Event answer = ConfigurationRead{object};
      ScheduleFor(fleet, index, TimeOf(fleet, index, answer),
                  [&fleet, index, answer] { Deliver(fleet, index, answer); });
    }
  });
}

auto BeginDelete(Fleet& fleet, std::size_t index, const DeleteRecord& request) -> void {
  ScheduleFor(fleet, index, kPlatformDelay, [&fleet, index, request] {
    CountCall(fleet);
    if (!IsPlatformUp(fleet, index)) return;
    const bool deleted = DeleteObject(fleet, request.key, request.if_revision);
    Deliver(fleet, index,
            DeleteFinished{.key = request.key,
                           .revision = request.if_revision,
                           .deleted = deleted,
                           .conflict = !deleted});
  });
}

auto PutObject(Fleet& fleet, const std::string& key, std::string value, std::uint64_t number)
    -> std::uint64_t {
  return Write(fleet, key, {.number = number, .value = std::move(value)});
}

auto DeleteObject(Fleet& fleet, const std::string& key, std::optional<std::uint64_t> if_revision)
    -> bool {
  const auto found = fleet.platform.objects.find(key);
  if (found == fleet.platform.objects.end() || found->second.deleted) return false;
  if (if_revision.has_value() && found->second.revision != *if_revision) return false;
  Write(fleet, key, {.deleted = true});
  return true;
}

auto SetDown(Fleet& fleet, bool down) -> void {
  fleet.platform.down = down;
  if (!down) return;
  const auto waiting = std::exchange(fleet.platform.waiting, {});
  for (const auto& [index, watch] : waiting) {
    AnswerWatch(fleet, index, watch.token, PlatformFailed{PlatformCall::kWatch, false});
  }
}

}  // namespace anvildrum::relay::fleet
