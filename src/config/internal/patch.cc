#include "config/patch.h"

#include <algorithm>

#include "base/types/ids.h"
#include "config/configuration.h"
#include "config/internal/operations.h"
#include "config/internal/read.h"
#include "config/internal/rules.h"
#include "config/internal/write.h"

namespace anvildrum::config {
namespace {

using json::Json;
using Fault = std::optional<ConfigurationError>;

constexpr auto kMaxIdentity = std::size_t{64};

// The document in force, parsed.
struct Current {
  Json document;
  Configuration configuration;
};

auto Refuse(const Current& current, ConfigurationError fault) -> boost::leaf::error_id {
  return boost::leaf::new_error(PatchRefusal{std::move(fault), current.configuration.number, {}});
}

auto ReadCurrent(std::string_view text, Current& out) -> Fault {
  auto fault = ParseDocument(text, out.document);
  if (!fault) fault = Read(out.document, out.configuration);
  if (fault) fault->place = Place::kCurrent;
  return fault;
}

auto IsIdentity(std::string_view text) -> bool {
  if (text.empty() || text.size() > kMaxIdentity) return false;
  return std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
}

auto CheckIdentity(const PatchRequest& request) -> Fault {
  auto is_valid =
      IsIdentity(request.id) && IsIdentity(request.author) && IsIdentity(request.submitted_at);
  if (is_valid) return std::nullopt;
  return ConfigurationError{Rule::kBadIdentity, Place::kPatch, {}, {}, {}};
}

// Digest of a patch's text, base and author, all of which must be equal under the same id.
auto DigestOf(const PatchRequest& request) -> std::uint64_t {
  auto text = std::to_string(request.base) + '\n' + request.author + '\n' + request.patch;
  return base::HashName(text);
}

auto FindRecord(const Configuration& configuration, const std::string& id) -> const PatchRecord* {
  const auto& history = configuration.history;
  auto same = [&](const PatchRecord& record) { return record.id == id; };
  auto found = std::find_if(history.begin(), history.end(), same);
  return found == history.end() ? nullptr : &*found;
}

auto ChangesSince(const Configuration& configuration, std::uint64_t base) -> std::string {
  auto since = Json::array();
  for (const auto& record : configuration.history) {
    if (record.number <= base) continue;
    for (auto& operation : Json::parse(record.difference)) since.push_back(std::move(operation));
  }
  return since.dump();
}

// Whether the history still has the record of the number after the base.
auto HistoryCovers(const Configuration& configuration, std::uint64_t base) -> bool {
  const auto& history = configuration.history;
  return !history.empty() && history.front().number <= base + 1;
}

auto RefuseStale(const Current& current, std::uint64_t base) -> boost::leaf::error_id {
  const auto& configuration = current.configuration;
  auto known = base > configuration.number || HistoryCovers(configuration, base);
  auto rule = known ? Rule::kStale : Rule::kBaseForgotten;
  auto fault = ConfigurationError{rule, Place::kCurrent, "/number", std::to_string(base), {}};
  auto since = known ? ChangesSince(configuration, base) : std::string();
  return boost::leaf::new_error(PatchRefusal{fault, configuration.number, since});
}

// Adds the optional sections of each service, so that an "add" below them has a parent.
auto WithSections(Json document) -> Json {
  for (auto& service : document["services"]) {
    for (const auto* section : {"spread", "limits", "weights"}) {
      if (!service.contains(section)) service[section] = Json::object();
    }
  }
  return document;
}

auto TrimHistory(Json& history) -> void {
  auto bytes = history.dump().size();
  while (history.size() > 1 && (history.size() > kMaxHistory || bytes > kMaxHistoryBytes)) {
    bytes -= history.front().dump().size();
    history.erase(history.begin());
  }
}

auto AssignNumber(const Current& current, const PatchRequest& request,
                  const std::string& difference, Json& document) -> std::uint64_t {
  auto number = current.configuration.number + 1;
  auto record = PatchRecord{request.id, request.author,    request.submitted_at,
                            number,     DigestOf(request), difference};
  document["number"] = number;
  auto& history = document["history"];
  if (!history.is_array()) history = Json::array();
  history.push_back(WriteRecord(record));
  TrimHistory(history);
  return number;
}

auto CheckChange(const Current& current, const PatchDocument& patch, const Json& document,
                 std::span<const KnownTarget> targets) -> Fault {
  auto after = Configuration{};
  if (auto fault = Read(document, after)) return fault;
  if (!patch.allow_address_move) {
    if (auto fault = CheckMoves(current.configuration, after)) return fault;
  }
  return CheckPlacement(current.configuration, after, targets);
}

auto RepeatAcceptance(const Current& current, const PatchRecord& record,
                      const PatchRequest& request, std::string_view text)
    -> base::Result<AcceptedPatch> {
  if (record.digest != DigestOf(request)) {
    return Refuse(current, {Rule::kIdReused, Place::kPatch, {}, request.id, {}});
  }
  return AcceptedPatch{std::string(text), record.number, record.difference, true};
}

auto ApplyNew(const Current& current, const PatchRequest& request,
              std::span<const KnownTarget> targets) -> base::Result<AcceptedPatch> {
  auto patch = PatchDocument{};
  if (auto fault = ParsePatch(request.patch, patch)) return Refuse(current, *fault);
  auto before = WithSections(current.document);
  auto after = before;
  if (auto fault = Apply(patch.operations, after)) return Refuse(current, *fault);
  if (auto fault = CheckChange(current, patch, after, targets)) return Refuse(current, *fault);
  auto difference = Json::diff(before, after).dump();
  auto number = AssignNumber(current, request, difference, after);
  auto document = after.dump();
  if (document.size() > kMaxDocument) {
    return Refuse(current, {Rule::kTooLarge, {}, {}, std::to_string(document.size()), {}});
  }
  return AcceptedPatch{std::move(document), number, std::move(difference), false};
}

}  // namespace

auto ApplyPatch(std::string_view text, const PatchRequest& request,
                std::span<const KnownTarget> targets) -> base::Result<AcceptedPatch> {
  auto current = Current{};
  if (auto fault = ReadCurrent(text, current)) return Refuse(current, *fault);
  if (auto fault = CheckIdentity(request)) return Refuse(current, *fault);
  // Safeguard: a patch whose answer was lost is submitted again under its id, and its base is stale
  // by then. The history is searched before the base is compared, or the patch would be reported as
  // refused.
  const auto* record = FindRecord(current.configuration, request.id);
  if (record != nullptr) return RepeatAcceptance(current, *record, request, text);
  if (request.base != current.configuration.number) return RefuseStale(current, request.base);
  return ApplyNew(current, request, targets);
}

}  // namespace anvildrum::config
