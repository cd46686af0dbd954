#include "settings/tests/settings_builder.h"

namespace anvildrum::settings {
namespace {

constexpr auto kCommon = R"({
  "name": "one", "failure_domain": "boston-1",
  "tunnel": "127.0.0.1:0", "operator_port": "127.0.0.1:0", "platform": ["127.0.0.1:9000"],
  "tunnel_keys": ["000102030405060708090a0b0c0d0e0f"],
  "relay_keys": [{"public": "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7",
                  "secret": "JTKVSB%%)wK0E.X)V>+}o?pNmC{O&4W4b!Ni{Lh6"}]
})";

constexpr auto kBalancer = R"({"control": "127.0.0.1:0"})";

constexpr auto kAgent = R"({"target": {"name": "desk-1", "service": "desk",
  "address": "127.0.0.1:7001", "slots": 4, "connections": 2000}})";

auto Pointer(std::string_view text) -> json::Json::json_pointer {
  return json::Json::json_pointer(std::string(text));
}

}  // namespace

auto SettingsBuilder::Balancer() -> SettingsBuilder {
  auto builder = SettingsBuilder{};
  builder.document = json::Json::parse(kCommon);
  return builder.With("/role", R"("balancer")").With("/balancer", kBalancer);
}

auto SettingsBuilder::Agent() -> SettingsBuilder {
  auto builder = SettingsBuilder{};
  builder.document = json::Json::parse(kCommon);
  return builder.With("/role", R"("agent")").With("/agent", kAgent);
}

auto SettingsBuilder::With(std::string_view pointer, std::string_view value) -> SettingsBuilder& {
  this->document[Pointer(pointer)] = json::Json::parse(value);
  return *this;
}

auto SettingsBuilder::Without(std::string_view pointer) -> SettingsBuilder& {
  auto remove = json::Json{{"op", "remove"}, {"path", pointer}};
  this->document = this->document.patch(json::Json::array({remove}));
  return *this;
}

auto SettingsBuilder::Build() const -> std::string { return this->document.dump(); }

}  // namespace anvildrum::settings
