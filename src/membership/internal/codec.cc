#include "membership/codec.h"

#include <array>
#include <charconv>

#include "json/reader.h"

namespace anvildrum::membership {
namespace {

using json::Cursor;
using json::Find;
using json::Json;
using json::Range;
using json::Section;
using json::TakeEndpoint;
using json::TakeNumber;

constexpr auto kRequired = json::Presence::kRequired;
constexpr auto kOptional = json::Presence::kOptional;
constexpr auto kIncarnations = Range{0, 18'446'744'073'709'551'615.0};
constexpr auto kSlots = Range{1, 10'000};
constexpr auto kConnections = Range{1, 10'000'000};
constexpr auto kIdDigits = std::size_t{16};
constexpr auto kHexBase = 16;

auto BadKey(std::string_view key) -> boost::leaf::error_id {
  return boost::leaf::new_error(
      MembershipError{MembershipErrorCode::kBadKey, std::string(key), {}});
}

auto BadRecord(std::string_view key, const json::ReadError& shape) -> boost::leaf::error_id {
  return boost::leaf::new_error(
      MembershipError{MembershipErrorCode::kBadRecord, std::string(key), shape});
}

// Ids are written as text, because many JSON readers store numbers as doubles, which cannot hold
// all 64-bit ids.
auto FormatId(std::uint64_t value) -> std::string {
  auto digits = std::array<char, kIdDigits>{};
  auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, kHexBase).ptr;
  auto text = std::string(digits.data(), end);
  return std::string(kIdDigits - text.size(), '0') + text;
}

auto TakeId(const Cursor& at, std::uint64_t& out) -> void {
  auto text = std::string();
  if (!json::TakeText(at, text)) return;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, kHexBase);
  auto is_complete = text.size() == kIdDigits && end == text.data() + text.size();
  if (error != std::errc{} || !is_complete) {
    json::Refuse(at, json::ReadErrorCode::kNotAKey, "16 hexadecimal digits");
  }
}

struct Process {
  base::InstanceId& instance;
  base::Incarnation& incarnation;
  base::Endpoint& tunnel;
  base::Endpoint& operator_port;
  std::string& failure_domain;
};

auto ReadProcess(Section& section, const Process& out) -> void {
  if (auto id = Find(section, "instance", kRequired)) TakeId(*id, out.instance.value);
  if (auto start = Find(section, "incarnation", kRequired)) {
    TakeNumber(*start, kIncarnations, out.incarnation);
  }
  if (auto tunnel = Find(section, "tunnel", kRequired)) TakeEndpoint(*tunnel, out.tunnel);
  if (auto port = Find(section, "operator_port", kRequired)) TakeEndpoint(*port, out.operator_port);
  if (auto domain = Find(section, "failure_domain", kRequired)) {
    json::TakeName(*domain, out.failure_domain);
  }
}

auto ReadTarget(Section& section, TargetRecord& out) -> void {
  ReadProcess(section,
              {out.instance, out.incarnation, out.tunnel, out.operator_port, out.failure_domain});
  if (auto slots = Find(section, "slots", kRequired)) TakeNumber(*slots, kSlots, out.slots);
  if (auto connections = Find(section, "connections", kRequired)) {
    TakeNumber(*connections, kConnections, out.connections);
  }
  if (auto draining = Find(section, "draining", kOptional)) {
    json::TakeFlag(*draining, out.draining);
  }
}

auto ReadBalancer(Section& section, BalancerRecord& out) -> void {
  ReadProcess(section,
              {out.instance, out.incarnation, out.tunnel, out.operator_port, out.failure_domain});
  if (auto control = Find(section, "control", kRequired)) TakeEndpoint(*control, out.control);
}

template <typename Record, typename Reader>
auto ReadValue(std::string_view key, std::string_view text, Record record, Reader read)
    -> base::Result<Record> {
  auto document = Json();
  auto syntax = base::ErrorOf<json::ReadError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(document, json::Parse(text, json::Comments::kRefused));
    return {};
  });
  if (syntax) return BadRecord(key, *syntax);
  auto errors = json::Errors{};
  auto section = json::OpenSection({&document, "", &errors});
  read(section, record);
  if (!errors.empty()) return BadRecord(key, errors.front());
  return record;
}

auto WriteProcess(const auto& record) -> Json {
  return {{"instance", FormatId(record.instance.value)},
          {"incarnation", record.incarnation},
          {"tunnel", base::FormatEndpoint(record.tunnel)},
          {"operator_port", base::FormatEndpoint(record.operator_port)},
          {"failure_domain", record.failure_domain}};
}

}  // namespace

auto KeyOf(const TargetRecord& record) -> std::string {
  return std::string(kTargetPrefix) + record.service_name + "/" + record.name;
}

auto KeyOf(const BalancerRecord& record) -> std::string {
  return std::string(kBalancerPrefix) + record.name;
}

auto Serialize(const TargetRecord& record) -> std::string {
  auto value = WriteProcess(record);
  value["slots"] = record.slots;
  value["connections"] = record.connections;
  value["draining"] = record.draining;
  return value.dump();
}

auto Serialize(const BalancerRecord& record) -> std::string {
  auto value = WriteProcess(record);
  value["control"] = base::FormatEndpoint(record.control);
  return value.dump();
}

auto ParseTargetRecord(std::string_view key, std::uint64_t revision, std::string_view text)
    -> base::Result<TargetRecord> {
  if (!key.starts_with(kTargetPrefix)) return BadKey(key);
  auto names = key.substr(kTargetPrefix.size());
  auto slash = names.find('/');
  if (slash == std::string_view::npos) return BadKey(key);
  auto record = TargetRecord{};
  record.service_name = names.substr(0, slash);
  record.name = names.substr(slash + 1);
  if (!json::IsName(record.service_name) || !json::IsName(record.name)) return BadKey(key);
  record.id = base::TargetIdOf(record.name);
  record.service = base::ServiceIdOf(record.service_name);
  record.revision = revision;
  return ReadValue(key, text, std::move(record), ReadTarget);
}

auto ParseBalancerRecord(std::string_view key, std::uint64_t revision, std::string_view text)
    -> base::Result<BalancerRecord> {
  if (!key.starts_with(kBalancerPrefix)) return BadKey(key);
  auto record = BalancerRecord{};
  record.name = key.substr(kBalancerPrefix.size());
  if (!json::IsName(record.name)) return BadKey(key);
  record.revision = revision;
  return ReadValue(key, text, std::move(record), ReadBalancer);
}

}  // namespace anvildrum::membership
