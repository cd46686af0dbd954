#include "config/internal/read.h"

#include "config/configuration.h"
#include "config/internal/rules.h"
#include "json/reader.h"

namespace anvildrum::config {
namespace {

using json::Cursor;
using json::Find;
using json::Range;
using json::TakeNumber;
using json::TakeText;

constexpr auto kRequired = json::Presence::kRequired;
constexpr auto kOptional = json::Presence::kOptional;

constexpr auto kNumbers = Range{0, 9'007'199'254'740'991};  // exact in every JSON reader
constexpr auto kDigests = Range{0, 18'446'744'073'709'551'615.0};
constexpr auto kAddresses = Range{0, 10'000};
constexpr auto kLoadMargins = Range{0, 10};
constexpr auto kSlowStartSeconds = Range{0, 3600};
constexpr auto kQueueMs = Range{0, 60'000};
constexpr auto kClientInFlight = Range{1, 1'000'000};
constexpr auto kFlowIdleSeconds = Range{1, 604'800};
constexpr auto kWeights = Range{0, 100};
constexpr auto kHistory = Range{0, 1024};

auto ReadSpread(const Cursor& at, SpreadPolicy& out) -> void {
  auto section = json::OpenSection(at);
  if (auto margin = Find(section, "load_margin", kOptional)) {
    json::TakeReal(*margin, kLoadMargins, out.load_margin);
  }
  if (auto local = Find(section, "local_failure_domain_first", kOptional)) {
    json::TakeFlag(*local, out.local_failure_domain_first);
  }
  if (auto start = Find(section, "slow_start_seconds", kOptional)) {
    TakeNumber(*start, kSlowStartSeconds, out.slow_start_seconds);
  }
  json::CloseSection(section);
}

auto ReadLimits(const Cursor& at, ServiceLimits& out) -> void {
  auto section = json::OpenSection(at);
  if (auto queue = Find(section, "queue_ms", kOptional)) {
    TakeNumber(*queue, kQueueMs, out.queue_ms);
  }
  if (auto client = Find(section, "client_in_flight", kOptional)) {
    TakeNumber(*client, kClientInFlight, out.client_in_flight);
  }
  if (auto idle = Find(section, "flow_idle_seconds", kOptional)) {
    TakeNumber(*idle, kFlowIdleSeconds, out.flow_idle_seconds);
  }
  json::CloseSection(section);
}

auto ReadWeights(const Cursor& at, std::vector<TargetWeight>& out) -> void {
  json::TakeMembers(at, [&](const std::string& target, const Cursor& value) {
    auto weight = 0.0;
    if (!json::IsName(target)) json::Refuse(value, json::ReadErrorCode::kNotAName);
    if (json::TakeReal(value, kWeights, weight)) out.push_back({target, weight});
  });
}

auto ReadAddresses(const Cursor& at, std::vector<base::Endpoint>& out) -> void {
  json::TakeEach(at, kAddresses, [&](const Cursor& item) {
    auto endpoint = base::Endpoint{};
    if (json::TakeEndpoint(item, endpoint)) out.push_back(endpoint);
  });
}

auto ReadService(const std::string& name, const Cursor& at, std::vector<Service>& out) -> void {
  auto service = Service{};
  service.name = name;
  service.id = base::ServiceIdOf(name);
  if (!json::IsName(name)) json::Refuse(at, json::ReadErrorCode::kNotAName);
  auto section = json::OpenSection(at);
  if (auto addresses = Find(section, "addresses", kRequired)) {
    ReadAddresses(*addresses, service.addresses);
  }
  if (auto spread = Find(section, "spread", kOptional)) ReadSpread(*spread, service.spread);
  if (auto limits = Find(section, "limits", kOptional)) ReadLimits(*limits, service.limits);
  if (auto weights = Find(section, "weights", kOptional)) ReadWeights(*weights, service.weights);
  json::CloseSection(section);
  out.push_back(std::move(service));
}

auto ReadRecord(const Cursor& at, std::vector<PatchRecord>& out) -> void {
  auto section = json::OpenSection(at);
  auto record = PatchRecord{};
  if (auto id = Find(section, "id", kRequired)) TakeText(*id, record.id);
  if (auto author = Find(section, "author", kRequired)) TakeText(*author, record.author);
  if (auto time = Find(section, "accepted_at", kRequired)) TakeText(*time, record.accepted_at);
  if (auto number = Find(section, "number", kRequired)) {
    TakeNumber(*number, kNumbers, record.number);
  }
  if (auto digest = Find(section, "digest", kRequired)) {
    TakeNumber(*digest, kDigests, record.digest);
  }
  if (auto difference = Find(section, "difference", kRequired)) {
    record.difference = difference->value->dump();
    if (!difference->value->is_array()) {
      json::Refuse(*difference, json::ReadErrorCode::kWrongType, "an array");
    }
  }
  json::CloseSection(section);
  out.push_back(std::move(record));
}

auto ReadShape(const json::Json& document, Configuration& out, json::Errors& errors) -> void {
  auto section = json::OpenSection({&document, "", &errors});
  if (auto number = Find(section, "number", kRequired)) TakeNumber(*number, kNumbers, out.number);
  if (auto services = Find(section, "services", kRequired)) {
    json::TakeMembers(*services, [&](const std::string& name, const Cursor& service) {
      ReadService(name, service, out.services);
    });
  }
  if (auto history = Find(section, "history", kOptional)) {
    json::TakeEach(*history, kHistory,
                   [&](const Cursor& record) { ReadRecord(record, out.history); });
  }
  json::CloseSection(section);
}

auto FromShape(const json::ReadError& error) -> ConfigurationError {
  return {Rule::kShape, Place::kDocument, error.pointer, error.found, error};
}

}  // namespace

auto Read(const json::Json& document, Configuration& out) -> std::optional<ConfigurationError> {
  auto errors = json::Errors{};
  out = {};
  ReadShape(document, out, errors);
  if (!errors.empty()) return FromShape(errors.front());
  return CheckAddresses(out);
}

auto ParseDocument(std::string_view text, json::Json& out) -> std::optional<ConfigurationError> {
  if (text.size() > kMaxDocument) return ConfigurationError{Rule::kTooLarge, {}, {}, {}, {}};
  auto refused = base::ErrorOf<json::ReadError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(out, json::Parse(text, json::Comments::kRefused));
    return {};
  });
  if (refused) return FromShape(*refused);
  return std::nullopt;
}

auto ParseConfiguration(std::string_view text) -> base::Result<Configuration> {
  auto document = json::Json();
  auto configuration = Configuration{};
  auto fault = ParseDocument(text, document);
  if (!fault) fault = Read(document, configuration);
  if (fault) return boost::leaf::new_error(*fault);
  return configuration;
}

}  // namespace anvildrum::config
