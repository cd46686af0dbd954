#include "tools/load_client/command_line.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <random>
#include <string_view>

namespace anvildrum::load {
namespace {

constexpr std::string_view kScheme = "coap://";
constexpr auto kMinRate = 0.001;
constexpr auto kMaxRate = 1e6;

auto ParseService(std::string_view text) -> base::Result<base::Endpoint> {
  if (text.starts_with(kScheme)) text.remove_prefix(kScheme.size());
  return base::ParseEndpoint(text);
}

auto FreshRunId() -> std::string {
  auto device = std::random_device{};
  return std::to_string(device());
}

auto Seconds(double value) -> base::Duration {
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(value));
}

}  // namespace

auto ParseCommandLine(int argc, const char* const* argv) -> base::Result<CommandLine> {
  using Text = TCLAP::ValueArg<std::string>;
  using Number = TCLAP::ValueArg<unsigned>;
  auto command = TCLAP::CmdLine("Scripted CoAP load", ' ', "0.1.0");
  auto service = Text("", "service", "where to send", true, "", "coap://IP:PORT", command);
  auto flows = Number("", "flows", "sessions, each with its own port", false, 1, "N", command);
  auto observe =
      Text("", "observe", "resource that each flow observes", false, "", "PATH", command);
  auto post = Text("", "post", "resource to POST to", false, "", "PATH", command);
  auto get = Text("", "get", "resource to GET", false, "", "PATH", command);
  auto report = Text("", "report", "report that each flow fetches", false, "", "PATH", command);
  auto rate = TCLAP::ValueArg<double>("", "rate", "POSTs, and GETs, a second over all flows", false,
                                      1, "R", command);
  auto seconds = TCLAP::ValueArg<double>("", "seconds", "time to send for", false, 5, "S", command);
  auto open_over = TCLAP::ValueArg<double>("", "open-over", "time to open the streams in", false, 0,
                                           "S", command);
  auto requests_after =
      TCLAP::ValueArg<double>("", "requests-after", "first POST and GET", false, 0, "S", command);
  auto requests_for =
      TCLAP::ValueArg<double>("", "requests-for", "time of POSTs and GETs", false, 0, "S", command);
  auto gap = Number("", "gap-ms", "longest gap of a stream", false, 2000, "ms", command);
  auto timeout = Number("", "timeout-ms", "wait for an answer", false, 30'000, "ms", command);
  auto report_timeout =
      Number("", "report-timeout-ms", "wait for a report", false, 120'000, "ms", command);
  auto deadline = Number("", "deadline-ms", "Deadline option of POSTs and GETs; 0: none", false, 0,
                         "ms", command);
  auto run_id = Text("", "run-id", "starts each request's id", false, "", "TEXT", command);
  auto json = TCLAP::SwitchArg("", "json", "summary as one line of JSON", command);
  auto list_streams = TCLAP::SwitchArg("", "list-streams", "each stream in the summary", command);
  command.parse(argc, argv);
  auto address = ParseService(service.getValue());
  if (!address) return address.error();
  auto line = CommandLine{};
  line.service = *address;
  line.flows = std::max(1U, flows.getValue());
  line.observe = observe.getValue();
  line.post = post.getValue();
  line.get = get.getValue();
  line.report = report.getValue();
  line.rate = std::clamp(rate.getValue(), kMinRate, kMaxRate);
  line.run_time = Seconds(seconds.getValue());
  line.open_over = Seconds(open_over.getValue());
  line.requests_after = Seconds(requests_after.getValue());
  line.requests_for = Seconds(requests_for.getValue());
  line.gap_limit = base::milliseconds(gap.getValue());
  line.request_timeout = base::milliseconds(timeout.getValue());
  line.report_timeout = base::milliseconds(report_timeout.getValue());
  line.deadline = base::milliseconds(deadline.getValue());
  line.run_id = run_id.getValue().empty() ? FreshRunId() : run_id.getValue();
  line.json = json.getValue();
  line.list_streams = list_streams.getValue();
  return line;
}

}  // namespace anvildrum::load
