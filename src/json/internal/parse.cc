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

auto PointerOf(const std::vector<Frame>& frames) -> std::string {
  auto pointer = std::string();
  for (const auto& frame : frames) {
    pointer = Child(pointer, frame.is_array ? std::to_string(frame.index) : frame.key);
  }
  return pointer;
}

// Finds syntax errors, depth and repeated keys, which a finished document no longer shows. A pass
// of its own: the library's parser with a callback looks through the whole parent at the end of
// each object, so that its time grows with the square of the number of services.
class Checker : public nlohmann::json_sax<Json> {
 public:
  std::optional<ReadError> error;
  std::size_t error_byte = 0;

  auto null() -> bool override { return this->Value(); }
  auto boolean(bool) -> bool override { return this->Value(); }
  auto number_integer(number_integer_t) -> bool override { return this->Value(); }
  auto number_unsigned(number_unsigned_t) -> bool override { return this->Value(); }
  auto number_float(number_float_t, const string_t&) -> bool override { return this->Value(); }
  auto string(string_t&) -> bool override { return this->Value(); }
  auto binary(binary_t&) -> bool override { return this->Value(); }

  auto start_object(std::size_t) -> bool override { return this->Open(false); }
  auto start_array(std::size_t) -> bool override { return this->Open(true); }
  auto end_object() -> bool override { return this->Close(); }
  auto end_array() -> bool override { return this->Close(); }

  auto key(string_t& name) -> bool override {
    auto& frame = this->frames.back();
    frame.key = name;
    return frame.keys.insert(name).second || this->Refuse(ReadErrorCode::kDuplicateKey);
  }

  auto parse_error(std::size_t byte, const std::string&, const nlohmann::detail::exception&)
      -> bool override {
    this->error = ReadError{ReadErrorCode::kNotJson, {}, {}, {}, {}, 0};
    this->error_byte = byte;
    return false;
  }

 private:
  std::vector<Frame> frames;

  auto Value() -> bool {
    if (!this->frames.empty()) ++this->frames.back().index;
    return true;
  }

  auto Open(bool is_array) -> bool {
    if (this->frames.size() >= kMaxDepth) return this->Refuse(ReadErrorCode::kTooDeep);
    this->frames.push_back({is_array, 0, {}, {}});
    return true;
  }

  auto Close() -> bool {
    this->frames.pop_back();
    return this->Value();
  }

  auto Refuse(ReadErrorCode code) -> bool {
    this->error = ReadError{code, PointerOf(this->frames), {}, {}, {}, 0};
    return false;
  }
};

auto LineOf(std::string_view text, std::size_t byte) -> std::size_t {
  auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
  return 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
}

}  // namespace

auto Parse(std::string_view text, Comments comments) -> base::Result<Json> {
  auto ignore_comments = comments == Comments::kIgnored;
  auto checker = Checker{};
  Json::sax_parse(text, &checker, Json::input_format_t::json, true, ignore_comments);
  if (checker.error) {
    auto error = *checker.error;
    if (error.code == ReadErrorCode::kNotJson) error.line = LineOf(text, checker.error_byte);
    return boost::leaf::new_error(error);
  }
  return Json::parse(text, nullptr, true, ignore_comments);
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
