#include "json/parse.h"

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

namespace anvildrum::json {
namespace {

// A container that is open while parsing.
struct Frame {
  bool is_array = false;
  std::size_t index = 0;  // of the current item
  std::string key;        // of the current member
  std::set<std::string> keys;
};

// Finds depth and repeated keys, which a finished document no longer shows.
struct Watcher {
  std::vector<Frame> frames;
  std::optional<ReadError> error;
};

auto PointerOf(const std::vector<Frame>& frames) -> std::string {
  auto pointer = std::string();
  for (const auto& frame : frames) {
    pointer = Child(pointer, frame.is_array ? std::to_string(frame.index) : frame.key);
  }
  return pointer;
}

auto Record(Watcher& watcher, ReadErrorCode code) -> void {
  if (watcher.error) return;
  watcher.error = ReadError{code, PointerOf(watcher.frames), {}, {}, {}, 0};
}

auto OnKey(Watcher& watcher, const std::string& key) -> void {
  auto& frame = watcher.frames.back();
  frame.key = key;
  if (!frame.keys.insert(key).second) Record(watcher, ReadErrorCode::kDuplicateKey);
}

// Returning false drops the container: it then reports neither its content nor its end.
auto OnStart(Watcher& watcher, int depth, bool is_array) -> bool {
  if (depth >= kMaxDepth) {
    Record(watcher, ReadErrorCode::kTooDeep);
    return false;
  }
  watcher.frames.push_back({is_array, 0, {}, {}});
  return true;
}

auto OnValue(Watcher& watcher) -> void {
  if (!watcher.frames.empty()) ++watcher.frames.back().index;
}

auto OnEnd(Watcher& watcher) -> void {
  watcher.frames.pop_back();
  OnValue(watcher);
}

auto OnEvent(Watcher& watcher, int depth, Json::parse_event_t event, const Json& value) -> bool {
  switch (event) {
    case Json::parse_event_t::object_start:
      return OnStart(watcher, depth, false);
    case Json::parse_event_t::array_start:
      return OnStart(watcher, depth, true);
    case Json::parse_event_t::object_end:
    case Json::parse_event_t::array_end:
      OnEnd(watcher);
      break;
    case Json::parse_event_t::key:
      OnKey(watcher, value.get_ref<const std::string&>());
      break;
    case Json::parse_event_t::value:
      OnValue(watcher);
      break;
  }
  return true;
}

auto LineOf(std::string_view text, std::size_t byte) -> std::size_t {
  auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
  return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

}  // namespace

auto Parse(std::string_view text, Comments comments) -> base::Result<Json> {
  auto watcher = Watcher{};
  auto watch = [&](int depth, Json::parse_event_t event, Json& value) {
    return OnEvent(watcher, depth, event, value);
  };
  try {
    auto document = Json::parse(text, watch, true, comments == Comments::kIgnored);
    if (watcher.error) return boost::leaf::new_error(*watcher.error);
    return document;
  } catch (const Json::exception& exception) {
    const auto* syntax = dynamic_cast<const Json::parse_error*>(&exception);
    auto line = syntax == nullptr ? 0 : LineOf(text, syntax->byte);
    return boost::leaf::new_error(ReadError{ReadErrorCode::kNotJson, {}, {}, {}, {}, line});
  }
}

auto Child(std::string_view pointer, std::string_view key) -> std::string {
  auto result = std::string(pointer) + "/";
  for (auto c : key) {
    if (c == '~') {
      result += "~0";
    } else if (c == '/') {
      result += "~1";
    } else {
      result += c;
    }
  }
  return result;
}

}  // namespace anvildrum::json
