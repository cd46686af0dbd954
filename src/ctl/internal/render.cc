#include "ctl/render.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <vector>

#include "config/configuration.h"
#include "json/parse.h"

namespace anvildrum::ctl {
namespace {

using json::Json;

constexpr auto kIndent = 2;
constexpr auto kColumns = std::size_t{8};
constexpr auto kHeadings = std::array<std::string_view, kColumns>{
    "ROLE", "NAME", "SERVICE", "FAILURE DOMAIN", "NUMBER", "FLOWS", "DRAINING", "STATE"};

using Row = std::array<std::string, kColumns>;

auto NumberText(const std::optional<std::uint64_t>& number) -> std::string {
  return number ? std::to_string(*number) : "-";
}

auto OrDash(const std::string& text) -> std::string { return text.empty() ? "-" : text; }

auto IsDraining(const InstanceReport& report) -> bool {
  if (report.status && report.status->draining) return *report.status->draining;
  return report.instance.draining;
}

auto StateOf(const InstanceReport& report, const std::optional<std::uint64_t>& number)
    -> std::string {
  auto address = base::FormatEndpoint(report.instance.operator_port);
  if (!report.status) return "unreachable at " + address;
  if (number && report.status->number && *report.status->number < *number) return "behind";
  return "ok";
}

auto RowOf(const InstanceReport& report, const std::optional<std::uint64_t>& number) -> Row {
  const auto& instance = report.instance;
  auto status = report.status.value_or(InstanceStatus{});
  auto name = instance.name.empty() ? base::FormatEndpoint(instance.operator_port) : instance.name;
  return {OrDash(instance.role),
          name,
          OrDash(instance.service),
          OrDash(instance.failure_domain),
          NumberText(status.number),
          NumberText(status.flows),
          IsDraining(report) ? "yes" : "no",
          StateOf(report, number)};
}

auto WriteRow(std::ostream& out, const Row& row, const std::array<std::size_t, kColumns>& widths)
    -> void {
  for (auto i = std::size_t{0}; i + 1 < kColumns; ++i) {
    out << row[i] << std::string(widths[i] - row[i].size() + 2, ' ');
  }
  out << row.back() << '\n';
}

auto InstanceJson(const InstanceReport& report) -> Json {
  const auto& instance = report.instance;
  auto value = Json{{"role", instance.role},
                    {"name", instance.name},
                    {"service", instance.service},
                    {"failure_domain", instance.failure_domain},
                    {"operator_port", base::FormatEndpoint(instance.operator_port)},
                    {"draining", IsDraining(report)},
                    {"reachable", report.status.has_value()}};
  value["status"] = report.status ? Json::parse(report.status->raw) : Json();
  return value;
}

}  // namespace

auto StatusTable(std::span<const InstanceReport> reports, std::optional<std::uint64_t> number)
    -> std::string {
  auto rows = std::vector<Row>(1);
  std::copy(kHeadings.begin(), kHeadings.end(), rows.front().begin());
  for (const auto& report : reports) rows.push_back(RowOf(report, number));
  auto widths = std::array<std::size_t, kColumns>{};
  for (const auto& row : rows) {
    for (auto i = std::size_t{0}; i < kColumns; ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  auto out = std::ostringstream{};
  if (number) out << "configuration number " << *number << '\n';
  for (const auto& row : rows) WriteRow(out, row, widths);
  return out.str();
}

auto StatusJson(std::span<const InstanceReport> reports, std::optional<std::uint64_t> number)
    -> std::string {
  auto instances = Json::array();
  for (const auto& report : reports) instances.push_back(InstanceJson(report));
  auto document = Json{{"number", number ? Json(*number) : Json()}, {"instances", instances}};
  return document.dump(kIndent) + '\n';
}

auto HistoryText(std::string_view document) -> std::string {
  auto out = std::ostringstream{};
  auto configuration = config::Configuration{};
  base::ErrorOf<config::ConfigurationError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(configuration, config::ParseConfiguration(document));
    return {};
  });
  for (const auto& record : configuration.history) {
    out << record.number << "  " << record.accepted_at << "  " << record.author << "  " << record.id
        << "  " << record.difference << '\n';
  }
  return out.str();
}

auto Indented(std::string_view document) -> std::string {
  auto parsed = Json();
  auto refused = base::ErrorOf<json::ReadError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(parsed, json::Parse(document, json::Comments::kRefused));
    return {};
  });
  if (refused) return std::string(document) + '\n';
  return parsed.dump(kIndent) + '\n';
}

auto Describe(const CtlError& error) -> std::string {
  switch (error.code) {
    case CtlErrorCode::kUnreachable:
      return "can't reach " + error.subject;
    case CtlErrorCode::kNoAnswer:
      return "no answer from " + error.subject;
    case CtlErrorCode::kServerError:
      return error.subject + " answered with status " + std::to_string(error.status);
    case CtlErrorCode::kBadAnswer:
      return error.subject + " gave an answer that can't be read";
    case CtlErrorCode::kForgotten:
      return error.subject + " is older than the patches that are remembered";
    case CtlErrorCode::kNotReadable:
      return error.subject + ": can't be read";
    case CtlErrorCode::kNoSuchTarget:
      return "no target '" + error.subject + "' is announced";
    case CtlErrorCode::kAmbiguous:
      return "several targets '" + error.subject + "' are announced; name one by --operator";
  }
  return "failed";
}

auto Describe(const config::PatchRefusal& refusal) -> std::string {
  auto text = config::Describe(refusal.fault);
  if (refusal.fault.rule != config::Rule::kStale) return text;
  return text + "; number " + std::to_string(refusal.number) +
         " won, and since the base this has changed: " + refusal.since;
}

auto NameOf(const Instance& instance) -> std::string {
  if (instance.name.empty()) return base::FormatEndpoint(instance.operator_port);
  return instance.role + " " + instance.name;
}

}  // namespace anvildrum::ctl
