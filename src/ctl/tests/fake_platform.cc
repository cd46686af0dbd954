#include "ctl/tests/fake_platform.h"

#include "ctl/apply.h"

namespace anvildrum::ctl {
namespace {

auto Fail(CtlErrorCode code) -> boost::leaf::error_id {
  return boost::leaf::new_error(CtlError{code, "the platform", 0});
}

auto NextFault(FakePlatform& platform) -> WriteFault {
  if (platform.faults.empty()) return WriteFault::kNone;
  auto fault = platform.faults.front();
  platform.faults.pop_front();
  return fault;
}

auto PutIfMatches(FakePlatform& platform, std::string_view key, std::string_view value,
                  std::optional<std::uint64_t> revision) -> PutOutcome {
  auto found = platform.objects.find(key);
  auto current =
      found == platform.objects.end() ? std::optional<std::uint64_t>{} : found->second.revision;
  if (current != revision) return PutOutcome::kConflict;
  platform.Set(key, value);
  ++platform.writes_that_took;
  return PutOutcome::kWritten;
}

auto Put(FakePlatform& platform, std::string_view key, std::string_view value,
         std::optional<std::uint64_t> revision) -> base::Result<PutOutcome> {
  auto fault = NextFault(platform);
  if (fault == WriteFault::kRefusedConnection) return Fail(CtlErrorCode::kUnreachable);
  if (fault == WriteFault::kLostRequest) return Fail(CtlErrorCode::kNoAnswer);
  if (fault == WriteFault::kRaced) platform.Set(kConfigKey, platform.racer);
  auto outcome = PutIfMatches(platform, key, value, revision);
  if (fault == WriteFault::kThenDown) platform.down = true;
  if (fault == WriteFault::kLostAnswer) return Fail(CtlErrorCode::kNoAnswer);
  if (fault == WriteFault::kFalseConflict) return PutOutcome::kConflict;
  return outcome;
}

auto List(const FakePlatform& platform, std::string_view prefix) -> std::vector<Object> {
  auto found = std::vector<Object>{};
  for (const auto& [key, object] : platform.objects) {
    if (key.starts_with(prefix)) found.push_back(object);
  }
  return found;
}

auto Get(const FakePlatform& platform, std::string_view key) -> std::optional<Object> {
  auto found = platform.objects.find(key);
  if (found == platform.objects.end()) return std::nullopt;
  return found->second;
}

}  // namespace

auto FakePlatform::Set(std::string_view key, std::string_view value) -> void {
  ++this->revision;
  this->objects[std::string(key)] = {std::string(key), this->revision, std::string(value)};
}

auto FakePlatform::Store() -> ObjectStore {
  auto store = ObjectStore{};
  store.get = [this](auto key) -> base::Result<std::optional<Object>> {
    if (this->down) return Fail(CtlErrorCode::kUnreachable);
    return Get(*this, key);
  };
  store.put = [this](auto key, auto value, auto expected) -> base::Result<PutOutcome> {
    if (this->down) return Fail(CtlErrorCode::kUnreachable);
    return Put(*this, key, value, expected);
  };
  store.list = [this](auto prefix) -> base::Result<std::vector<Object>> {
    if (this->down) return Fail(CtlErrorCode::kUnreachable);
    return List(*this, prefix);
  };
  return store;
}

}  // namespace anvildrum::ctl
