#include "ctl/versions.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <iomanip>
#include <map>
#include <sstream>
#include <tuple>

#include "ctl/internal/append_endpoint.h"
#include "ctl/internal/ask_each.h"
#include "ctl/internal/http_client.h"

namespace anvildrum::ctl {
namespace {

constexpr auto kMetricsLimit = base::seconds(2);
constexpr auto kAge = std::string_view{"anvildrum_packets_configuration_age_ms"};
constexpr auto kUnconfirmed = std::string_view{"anvildrum_packets_configuration_unconfirmed"};
constexpr auto kVersion = std::string_view{"anvildrum_packets_configuration_version"};
constexpr auto kMillisecondsInSecond = 1000.0;

auto NotReadable(const std::string& subject) -> boost::leaf::error_id {
  return boost::leaf::new_error(CtlError{CtlErrorCode::kNotReadable, subject, 0});
}

// The value of a sample without labels.
auto ValueOf(std::string_view line, std::string_view name) -> std::optional<double> {
  if (!line.starts_with(name) || line.size() <= name.size() || line[name.size()] != ' ') {
    return std::nullopt;
  }
  const auto text = line.substr(name.size() + 1);
  auto value = 0.0;
  const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
  if (read.ec != std::errc{}) return std::nullopt;
  return value;
}

auto NewestOf(std::span<const BalancerVersion> balancers) -> std::optional<std::uint64_t> {
  auto newest = std::optional<std::uint64_t>{};
  for (const auto& balancer : balancers) {
    if (balancer.in_force) newest = std::max(newest, balancer.in_force->version);
  }
  return newest;
}

auto Seconds(base::milliseconds time) -> std::string {
  auto out = std::ostringstream{};
  out << std::fixed << std::setprecision(2)
      << static_cast<double>(time.count()) / kMillisecondsInSecond << " s";
  return out.str();
}

auto VersionText(const ConfigurationInForce& in_force) -> std::string {
  return in_force.version ? "version " + std::to_string(*in_force.version) : "no configuration";
}

auto LateLine(const BalancerVersion& balancer) -> std::string {
  const auto name = base::FormatEndpoint(balancer.metrics) + "  ";
  if (!balancer.in_force) return name + "unreachable, or no balancer\n";
  const auto* bound = balancer.in_force->unconfirmed ? ", longer than it may be" : "";
  return name + VersionText(*balancer.in_force) + ", confirmed " +
         Seconds(balancer.in_force->confirmed_ago) + " ago" + bound + '\n';
}

struct VersionRow {
  std::size_t balancers = 0;
  base::milliseconds oldest{};
};

}  // namespace

auto HttpFetchMetrics() -> FetchStatus {
  return [](const base::Endpoint& address) {
    return FetchBody(address, HttpRequest{"GET", "/metrics", {}, {}}, kMetricsLimit);
  };
}

auto ReadAddresses(const std::string& file) -> base::Result<std::vector<base::Endpoint>> {
  auto in = std::ifstream(file);
  if (!in) return NotReadable(file);
  auto addresses = std::vector<base::Endpoint>{};
  auto number = std::size_t{0};
  for (auto line = std::string{}; std::getline(in, line);) {
    ++number;
    if (line.empty() || line.starts_with('#')) continue;
    if (!AppendEndpoint(line, addresses)) {
      return NotReadable(file + ", line " + std::to_string(number));
    }
  }
  return addresses;
}

auto ReadConfigurationInForce(std::string_view metrics) -> std::optional<ConfigurationInForce> {
  auto in_force = ConfigurationInForce{};
  auto is_balancer = false;
  while (!metrics.empty()) {
    const auto end = std::min(metrics.find('\n'), metrics.size());
    const auto line = metrics.substr(0, end);
    metrics.remove_prefix(std::min(end + 1, metrics.size()));
    if (const auto age = ValueOf(line, kAge)) {
      in_force.confirmed_ago = base::milliseconds{static_cast<std::int64_t>(*age)};
      is_balancer = true;
    }
    if (const auto flag = ValueOf(line, kUnconfirmed)) in_force.unconfirmed = *flag != 0;
    if (const auto version = ValueOf(line, kVersion)) {
      in_force.version = static_cast<std::uint64_t>(*version);
    }
  }
  if (!is_balancer) return std::nullopt;
  return in_force;
}

auto AskVersions(std::span<const base::Endpoint> balancers, const FetchStatus& fetch)
    -> std::vector<BalancerVersion> {
  auto answers = std::vector<BalancerVersion>(balancers.size());
  AskEach(balancers.size(), [&](std::size_t i) {
    answers[i].metrics = balancers[i];
    base::ErrorOf<CtlError>([&]() -> base::Result<void> {
      BOOST_LEAF_AUTO(text, fetch(balancers[i]));
      answers[i].in_force = ReadConfigurationInForce(text);
      return {};
    });
  });
  return answers;
}

auto LateBalancers(std::span<const BalancerVersion> balancers) -> std::vector<BalancerVersion> {
  const auto newest = NewestOf(balancers);
  auto late = std::vector<BalancerVersion>{};
  for (const auto& balancer : balancers) {
    const auto& said = balancer.in_force;
    if (!said || said->unconfirmed || !said->version || said->version < newest) {
      late.push_back(balancer);
    }
  }
  const auto rank = [](const BalancerVersion& balancer) {
    const auto said = balancer.in_force.value_or(ConfigurationInForce{});
    return std::tuple{balancer.in_force.has_value(), said.version, -said.confirmed_ago};
  };
  std::ranges::stable_sort(late, {}, rank);
  return late;
}

auto VersionsText(std::span<const BalancerVersion> balancers, std::size_t most) -> std::string {
  auto rows = std::map<std::optional<std::uint64_t>, VersionRow, std::greater<>>{};
  for (const auto& balancer : balancers) {
    if (!balancer.in_force) continue;
    auto& row = rows[balancer.in_force->version];
    ++row.balancers;
    row.oldest = std::max(row.oldest, balancer.in_force->confirmed_ago);
  }
  auto out = std::ostringstream{};
  for (const auto& [version, row] : rows) {
    out << VersionText({version}) << " at " << row.balancers << " of " << balancers.size()
        << " balancers, confirmed " << Seconds(row.oldest) << " ago at most\n";
  }
  const auto late = LateBalancers(balancers);
  for (const auto& balancer : std::span{late}.first(std::min(most, late.size()))) {
    out << LateLine(balancer);
  }
  if (late.size() > most) out << "and " << late.size() - most << " more are late\n";
  return out.str();
}

}  // namespace anvildrum::ctl
