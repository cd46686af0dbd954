#include "tools/target_standin/bodies.h"

#include <nlohmann/json.hpp>

namespace anvildrum::target {
namespace {

using Json = nlohmann::json;

auto Dump(const Json& json) -> std::string {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

auto RequestIdOf(std::string_view body) -> std::optional<std::string> {
  auto json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  auto id = json.find("id");
  if (id == json.end() || !id->is_string()) return std::nullopt;
  auto text = id->get<std::string>();
  if (text.empty()) return std::nullopt;
  return text;
}

auto DrainingOf(std::string_view body) -> std::optional<bool> {
  auto json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  auto draining = json.find("draining");
  if (draining == json.end() || !draining->is_boolean()) return std::nullopt;
  return draining->get<bool>();
}

auto FeedBody(std::string_view target, std::uint64_t sequence, double price) -> std::string {
  return Dump({{"target", target}, {"sequence", sequence}, {"price", price}});
}

auto StatusBody(std::string_view target, std::uint64_t sequence) -> std::string {
  auto level = static_cast<double>(sequence % 100) / 10;
  return Dump({{"target", target}, {"sequence", sequence}, {"pump", "on"}, {"level_m", level}});
}

auto RunBody(std::string_view target, std::string_view request_id, std::uint64_t executions)
    -> std::string {
  return Dump({{"target", target}, {"id", request_id}, {"executions", executions}});
}

auto RouteBody(std::string_view target, std::string_view request_id) -> std::string {
  auto hops = Json::array({"Boston", "Halifax", "Killala", "Bude"});
  return Dump({{"target", target}, {"id", request_id}, {"route", std::move(hops)}});
}

auto ErrorBody(std::string_view target, std::string_view error, std::string_view request_id)
    -> std::string {
  return Dump({{"target", target}, {"error", error}, {"id", request_id}});
}

auto LoadBody(std::string_view target, const Load& load, unsigned slots) -> std::string {
  return Dump({{"target", target},
               {"in_flight", load.in_flight},
               {"queued", 0},
               {"slots", slots},
               {"draining", load.draining}});
}

auto HealthBody(std::string_view target, const Load& load) -> std::string {
  return Dump({{"target", target}, {"healthy", true}, {"draining", load.draining}});
}

auto ExecutionsBody(std::string_view target, const Work& work) -> std::string {
  return Dump({{"target", target},
               {"admitted", work.admitted},
               {"refused", work.refused},
               {"executions", work.executions}});
}

}  // namespace anvildrum::target
