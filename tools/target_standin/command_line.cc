#include "tools/target_standin/command_line.h"

#include <tclap/CmdLine.h>

#include <map>
#include <vector>

namespace anvildrum::target {
namespace {

auto Kinds() -> const std::map<std::string, TargetKind>& {
  static const auto kinds =
      std::map<std::string, TargetKind>{{"desk", TargetKind::kDesk},
                                        {"mapper", TargetKind::kMapper},
                                        {"scada-gw", TargetKind::kScadaGateway},
                                        {"report-srv", TargetKind::kReportServer}};
  return kinds;
}

auto KindNames() -> std::vector<std::string> {
  auto names = std::vector<std::string>{};
  for (const auto& [name, kind] : Kinds()) names.push_back(name);
  return names;
}

/// An option in milliseconds.
struct MillisecondsArg {
  TCLAP::ValueArg<unsigned> arg;
  MillisecondsArg(TCLAP::CmdLine& command, const char* name, const char* text, unsigned value)
      : arg("", name, text, false, value, "ms", command) {}
  auto Get() -> base::Duration { return base::milliseconds(this->arg.getValue()); }
};

}  // namespace

auto ParseCommandLine(int argc, const char* const* argv) -> base::Result<CommandLine> {
  auto command = TCLAP::CmdLine("CoAP server that stands in for a target", ' ', "0.1.0");
  auto names = KindNames();
  auto kinds = TCLAP::ValuesConstraint<std::string>(names);
  auto kind = TCLAP::ValueArg<std::string>("", "kind", "service that it is a target of", true, "",
                                           &kinds, command);
  auto name =
      TCLAP::ValueArg<std::string>("", "name", "named in each answer", true, "", "NAME", command);
  auto listen = TCLAP::ValueArg<std::string>("", "listen", "address; port 0 takes a free one",
                                             false, "127.0.0.1:0", "IP:PORT", command);
  auto slots =
      TCLAP::ValueArg<unsigned>("", "slots", "requests run at once", false, 4, "number", command);
  auto seed = TCLAP::ValueArg<std::uint64_t>("", "seed", "seed of every random choice", false, 1,
                                             "number", command);
  auto lying = TCLAP::SwitchArg("", "lying-load", "the load answer tells an idle target", command);
  auto service_ms = MillisecondsArg(command, "service-ms", "mean time that a request runs", 20);
  auto cold_ms = MillisecondsArg(command, "cold-ms", "added to the first request, then less", 0);
  auto report_ms = MillisecondsArg(command, "report-ms", "time that a report takes", 500);
  auto lag_ms = MillisecondsArg(command, "health-lag-ms", "age of health and load answers", 0);
  auto notify_ms = MillisecondsArg(command, "notify-ms", "between notifications", 200);
  auto drain_ms = MillisecondsArg(command, "drain-ms", "longest wait at a stop", 30'000);
  command.parse(argc, argv);
  auto address = base::ParseEndpoint(listen.getValue());
  if (!address) return address.error();
  auto line = CommandLine{};
  line.kind = Kinds().at(kind.getValue());
  line.name = name.getValue();
  line.listen = *address;
  line.work.slots = slots.getValue();
  line.work.service_time = service_ms.Get();
  line.work.cold_extra = cold_ms.Get();
  line.work.report_time = report_ms.Get();
  line.work.load_lag = lag_ms.Get();
  line.work.lying_load = lying.getValue();
  line.seed = seed.getValue();
  line.notify_interval = std::max<base::Duration>(notify_ms.Get(), base::milliseconds(1));
  line.drain_limit = drain_ms.Get();
  return line;
}

}  // namespace anvildrum::target
