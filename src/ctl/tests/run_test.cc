#include "ctl/run.h"

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>

#include "ctl/apply.h"
#include "ctl/exit_code.h"
#include "ctl/tests/fake_platform.h"
#include "json/parse.h"
#include "membership/codec.h"

namespace anvildrum::ctl {
namespace {

constexpr auto kDocument = std::string_view{
    R"({"number": 3, "services": {"desk": {"addresses": ["10.0.0.1:5683"]}}, "history": []})"};

// A site of one balancer and one agent, with the number that each has in force.
struct Site {
  FakePlatform platform;
  std::map<std::string, int> numbers;          // by operator port; absent: unreachable
  std::map<std::string, std::string> metrics;  // by metrics address; absent: unreachable
  std::mutex mutex;
  std::vector<std::string> drained;
  base::TimePoint clock;
  std::string wall_time = "2026-12-02T10:00:00Z";
  std::ostringstream out;
  std::ostringstream err;
  std::function<void()> on_sleep = [] {};
  std::filesystem::path folder;

  Site() {
    this->platform.Set(kConfigKey, kDocument);
    auto balancer = membership::BalancerRecord{};
    balancer.name = "b1";
    balancer.failure_domain = "boston-1";
    balancer.operator_port = base::EndpointFromV4(0x7f000001, 1);
    this->platform.Set(KeyOf(balancer), Serialize(balancer));
    auto target = membership::TargetRecord{};
    target.name = "desk-1";
    target.service_name = "desk";
    target.failure_domain = "boston-1";
    target.operator_port = base::EndpointFromV4(0x7f000001, 2);
    target.slots = 4;
    target.connections = 10;
    this->platform.Set(KeyOf(target), Serialize(target));
    this->numbers = {{"127.0.0.1:1", 3}, {"127.0.0.1:2", 3}};
    this->folder = std::filesystem::temp_directory_path() /
                   ("anvilctl-" + boost::unit_test::framework::current_test_case().p_name.get());
    std::filesystem::create_directories(this->folder);
  }

  ~Site() { std::filesystem::remove_all(this->folder); }

  auto File(std::string_view text) -> std::string {
    auto path = this->folder / "file.json";
    std::ofstream(path) << text;
    return path.string();
  }

  auto Fetch(const base::Endpoint& port) -> base::Result<std::string> {
    auto lock = std::lock_guard(this->mutex);
    auto found = this->numbers.find(base::FormatEndpoint(port));
    if (found == this->numbers.end()) {
      return boost::leaf::new_error(CtlError{CtlErrorCode::kUnreachable, "it", 0});
    }
    return R"({"flows": 5, "number": )" + std::to_string(found->second) + "}";
  }

  auto FetchMetrics(const base::Endpoint& port) -> base::Result<std::string> {
    auto lock = std::lock_guard(this->mutex);
    auto found = this->metrics.find(base::FormatEndpoint(port));
    if (found != this->metrics.end()) return found->second;
    return boost::leaf::new_error(CtlError{CtlErrorCode::kUnreachable, "it", 0});
  }

  auto Run(Command command, std::vector<base::Endpoint> operators = {}) -> int {
    auto edge = Edge{this->platform.Store(),
                     [this](const auto& port) { return this->Fetch(port); },
                     [this](const auto& port) { return this->FetchMetrics(port); },
                     [this](const auto& port) -> base::Result<void> {
                       this->drained.push_back(base::FormatEndpoint(port));
                       return {};
                     },
                     [this](base::Duration pause) {
                       this->clock += pause;
                       this->on_sleep();
                     },
                     [this] { return this->clock; },
                     [this] { return this->wall_time; },
                     this->out,
                     this->err};
    auto invocation = Invocation{std::move(command), {}, std::move(operators)};
    return ctl::Run(invocation, edge);
  }

  auto Apply(std::string_view patch, bool wait = false) -> int {
    return this->Run(ApplyCommand{3, this->File(patch), "p1", "ana", false, wait});
  }
};

BOOST_AUTO_TEST_CASE(status_tells_each_instance) {
  auto site = Site();
  BOOST_TEST(site.Run(StatusCommand{}) == kDone);
  auto table = site.out.str();
  BOOST_TEST(table.find("configuration number 3") == 0U);
  BOOST_TEST(table.find("b1") != std::string::npos);
  BOOST_TEST(table.find("desk-1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(status_names_the_unreachable_and_the_late) {
  auto site = Site();
  site.numbers = {{"127.0.0.1:2", 2}};
  BOOST_TEST(site.Run(StatusCommand{}) == kIncomplete);
  BOOST_TEST(site.out.str().find("unreachable at 127.0.0.1:1") != std::string::npos);
  BOOST_TEST(site.out.str().find("behind") != std::string::npos);
}

// Guards against a balancer that goes by an old configuration while all that is asked looks well.
BOOST_AUTO_TEST_CASE(versions_name_balancers_that_are_behind) {
  auto site = Site();
  const auto at = [](std::string_view version) {
    return "anvildrum_packets_configuration_version " + std::string(version) +
           "\nanvildrum_packets_configuration_age_ms 400\n";
  };
  site.metrics = {{"10.0.0.1:9464", at("20")}, {"10.0.0.2:9464", at("20")}};
  const auto file = site.File("# balancers\n10.0.0.1:9464\n\n10.0.0.2:9464\n");
  BOOST_TEST(site.Run(VersionsCommand{file}) == kDone);
  BOOST_TEST(site.out.str() == "version 20 at 2 of 2 balancers, confirmed 0.40 s ago at most\n");
  site.metrics["10.0.0.1:9464"] = at("17");
  BOOST_TEST(site.Run(VersionsCommand{file}) == kIncomplete);
  BOOST_TEST(site.out.str().ends_with("10.0.0.1:9464  version 17, confirmed 0.40 s ago\n"));
  site.metrics.erase("10.0.0.2:9464");
  BOOST_TEST(site.Run(VersionsCommand{file}) == kIncomplete);
  BOOST_TEST(site.out.str().ends_with("10.0.0.2:9464  unreachable, or no balancer\n"));
}

BOOST_AUTO_TEST_CASE(versions_of_an_unreadable_file_are_a_usage_error) {
  auto site = Site();
  BOOST_TEST(site.Run(VersionsCommand{"/nowhere"}) == kUsage);
  BOOST_TEST(site.Run(VersionsCommand{site.File("10.0.0.1:9464\nedge-1\n")}) == kUsage);
  BOOST_TEST(site.err.str().find("line 2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(status_as_json_is_json) {
  auto site = Site();
  site.Run(StatusCommand{true});
  auto document = json::Json::parse(site.out.str());
  BOOST_TEST(document.at("number") == 3);
  BOOST_TEST(document.at("instances").at(0).at("status").at("flows") == 5);
}

// In an outage of the platform the operator still has to see instances and drain a target.
BOOST_AUTO_TEST_CASE(status_and_drain_work_without_the_platform) {
  auto site = Site();
  site.platform.down = true;
  auto port = base::EndpointFromV4(0x7f000001, 2);
  BOOST_TEST(site.Run(StatusCommand{}) == kPlatformUnreachable);
  BOOST_TEST(site.Run(StatusCommand{}, {port}) == kDone);
  BOOST_TEST(site.Run(DrainCommand{"desk-1"}, {port}) == kDone);
  BOOST_TEST(site.drained.at(0) == "127.0.0.1:2");
}

BOOST_AUTO_TEST_CASE(drain_finds_the_target) {
  auto site = Site();
  BOOST_TEST(site.Run(DrainCommand{"desk-1"}) == kDone);
  BOOST_TEST(site.drained.at(0) == "127.0.0.1:2");
  BOOST_TEST(site.Run(DrainCommand{"b1"}) == kRefused);
  BOOST_TEST(site.drained.size() == 1U);
}

BOOST_AUTO_TEST_CASE(apply_tells_the_number_the_rule_or_the_winner) {
  auto site = Site();
  BOOST_TEST(site.Apply(R"([{"op": "remove", "path": "/services/desk"}])") == kRefused);
  BOOST_TEST(site.err.str().find("service-has-targets") != std::string::npos);
  BOOST_TEST(site.err.str().find("/services/desk") != std::string::npos);
  BOOST_TEST(site.Apply("[]") == kDone);
  BOOST_TEST(site.out.str() == "accepted number 4 id p1\n");
  auto other = ApplyCommand{3, site.File("[]"), "p2", "bea", false, false};
  BOOST_TEST(site.Run(other) == kConflict);
  BOOST_TEST(site.err.str().find("number 4 won") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(apply_without_a_file_or_a_platform) {
  auto site = Site();
  BOOST_TEST(site.Run(ApplyCommand{3, "no-such-file", "p1", "ana", false, false}) == kUsage);
  site.platform.down = true;
  BOOST_TEST(site.Apply("[]") == kPlatformUnreachable);
}

BOOST_AUTO_TEST_CASE(wait_returns_once_it_is_in_force) {
  auto site = Site();
  site.on_sleep = [&] { site.numbers = {{"127.0.0.1:1", 4}, {"127.0.0.1:2", 4}}; };
  BOOST_TEST(site.Apply("[]", true) == kDone);
  BOOST_TEST(site.out.str().find("in force on 2 instances") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(wait_names_those_without_it) {
  auto site = Site();
  site.numbers = {{"127.0.0.1:1", 3}};
  BOOST_TEST(site.Apply("[]", true) == kIncomplete);
  BOOST_TEST(site.err.str().find("balancer b1: not yet in force") != std::string::npos);
  BOOST_TEST(site.err.str().find("agent desk-1: unreachable") != std::string::npos);
}

// The patch was taken, and then the platform went away. The exit code that means "nothing was
// changed" would make the operator write it anew.
BOOST_AUTO_TEST_CASE(wait_without_the_platform_says_that_the_patch_was_taken) {
  auto site = Site();
  site.platform.faults = {WriteFault::kThenDown};
  BOOST_TEST(site.Apply("[]", true) == kIncomplete);
  BOOST_TEST(site.out.str().find("accepted number 4") != std::string::npos);
  BOOST_TEST(site.err.str().find("can't tell where it is in force") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_dry_run_of_a_patch_in_force_says_so) {
  auto site = Site();
  BOOST_TEST(site.Apply("[]") == kDone);
  site.out.str("");
  BOOST_TEST(site.Run(ApplyCommand{3, site.File("[]"), "p1", "ana", true, false}) == kDone);
  BOOST_TEST(site.out.str() == "accepted number 4 id p1 (it was in force already)\n");
}

// An operator's clock goes back by hours between two patches. Numbers order the history, and the
// same command again is known by its id, whatever time it is.
BOOST_AUTO_TEST_CASE(a_clock_that_jumps_back_changes_neither_history_nor_verdict) {
  auto site = Site();
  BOOST_TEST(site.Apply("[]") == kDone);
  site.wall_time = "2026-12-02T07:00:00Z";
  BOOST_TEST(site.Run(ApplyCommand{4, site.File("[]"), "p2", "bea", false, false}) == kDone);
  BOOST_TEST(site.Apply("[]") == kDone);
  BOOST_TEST(site.platform.writes_that_took == 2);
  site.out.str("");
  BOOST_TEST(site.Run(HistoryCommand{}) == kDone);
  auto text = site.out.str();
  BOOST_TEST(text.find("4  2026-12-02T10:00:00Z") < text.find("5  2026-12-02T07:00:00Z"));
  BOOST_TEST(text.find("5  2026-12-02T07:00:00Z") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(history_and_get_show_the_document) {
  auto site = Site();
  site.Apply("[]");
  BOOST_TEST(site.Run(HistoryCommand{}) == kDone);
  BOOST_TEST(site.out.str().find("4  2026-12-02T10:00:00Z  ana  p1  []") != std::string::npos);
  site.out.str("");
  BOOST_TEST(site.Run(GetCommand{}) == kDone);
  BOOST_TEST(json::Json::parse(site.out.str()).at("number") == 4);
}

BOOST_AUTO_TEST_CASE(check_names_every_fault) {
  auto site = Site();
  BOOST_TEST(site.Run(CheckCommand{site.File(R"({"role": "balancer", "colour": 1})")}) == kRefused);
  BOOST_TEST(site.err.str().find("/failure_domain is missing") != std::string::npos);
  BOOST_TEST(site.err.str().find("/colour is not a known key") != std::string::npos);
  BOOST_TEST(site.Run(CheckCommand{"no-such-file"}) == kUsage);
}

}  // namespace
}  // namespace anvildrum::ctl
