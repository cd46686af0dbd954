#include "telemetry/trace.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <set>

#include "temporary_file.h"

namespace anvildrum::telemetry {
namespace {

constexpr auto kStart = base::TimePoint{base::seconds{100}};

auto OpenTracer(const std::string& file, std::uint32_t permille, std::uint64_t seed = 1) -> Tracer {
  return Tracer::Open({.file = file,
                       .instance = "b1",
                       .seed = seed,
                       .sample_permille = permille,
                       .steady_anchor = kStart})
      .value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(trace)

// Two processes take part: the balancer starts the trace, the agent hangs its span under it,
// knowing the two numbers of the tunnel header alone.
BOOST_AUTO_TEST_CASE(hops_share_a_trace_and_name_their_parent) {
  auto file = TemporaryFile{};
  auto balancer = OpenTracer(file.path, 1000, 1);
  auto agent = OpenTracer(file.path, 1000, 2);
  auto edge = StartSpan(balancer, "client_edge", NewTrace(balancer, 7), kStart);
  auto tunnel = StartSpan(agent, "tunnel", edge.context, kStart + base::milliseconds{1});
  AddAttribute(tunnel, "service", std::string{"desk \"1\""});
  Finish(agent, tunnel, kStart + base::milliseconds{3});
  Flush(agent);
  Finish(balancer, edge, kStart + base::milliseconds{4});
  Flush(balancer);
  const auto lines = file.Lines();
  BOOST_REQUIRE(lines.size() == 2U);
  const auto inner = nlohmann::json::parse(lines[0]);
  const auto outer = nlohmann::json::parse(lines[1]);
  BOOST_TEST_MESSAGE(lines[0]);
  BOOST_TEST((inner["span_context"]["trace_id"] == outer["span_context"]["trace_id"]));
  BOOST_TEST((inner["references"][0]["span_id"] == outer["span_context"]["span_id"]));
  BOOST_TEST((outer["references"].empty()));
  BOOST_TEST((inner["operation_name"] == "tunnel"));
  BOOST_TEST((inner["tags"]["service"] == "desk \"1\""));
  BOOST_TEST((inner["tags"]["instance"] == "b1"));
}

BOOST_AUTO_TEST_CASE(sampling_keeps_its_share_and_its_choice) {
  constexpr auto numbers = 100000;
  auto sampled = 0;
  for (auto number = std::uint64_t{0}; number < numbers; ++number) {
    if (ShouldSample(number, 10)) ++sampled;
    BOOST_REQUIRE(!ShouldSample(number, 0));
    BOOST_REQUIRE(ShouldSample(number, 1000));
    if (ShouldSample(number, 10)) BOOST_REQUIRE(ShouldSample(number, 20));
  }
  BOOST_TEST(sampled > 800);
  BOOST_TEST(sampled < 1200);
}

BOOST_AUTO_TEST_CASE(unsampled_spans_are_not_written) {
  auto file = TemporaryFile{};
  auto tracer = OpenTracer(file.path, 0);
  auto span = StartSpan(tracer, "edge", NewTrace(tracer, 7), kStart);
  AddAttribute(span, "k", true);
  Finish(tracer, span, kStart);
  Flush(tracer);
  BOOST_TEST(!IsSampled(span.context));
  BOOST_TEST(file.Lines().empty());
}

BOOST_AUTO_TEST_CASE(ids_do_not_repeat_and_follow_the_seed) {
  auto first = OpenTracer("", 1000, 1);
  auto same = OpenTracer("", 1000, 1);
  auto other = OpenTracer("", 1000, 2);
  auto seen = std::set<std::uint64_t>{};
  for (auto number = std::uint64_t{0}; number < 1000; ++number) {
    const auto id = NewTrace(first, number).trace_id;
    BOOST_TEST(id == NewTrace(same, number).trace_id);
    seen.insert(id);
    seen.insert(NewTrace(other, number).trace_id);
  }
  BOOST_TEST(seen.size() == 2000U);
}

// The reader of a pipe goes away for a while, as a file system would be full for a while. The spans
// of that time are lost and counted, the process goes on, and later spans are written again.
BOOST_AUTO_TEST_CASE(a_failed_write_loses_its_own_spans_only) {
  std::signal(SIGPIPE, SIG_IGN);
  auto pipe = TemporaryFile{};
  std::filesystem::remove(pipe.path);
  BOOST_REQUIRE(::mkfifo(pipe.path.c_str(), 0600) == 0);
  auto reader = ::open(pipe.path.c_str(), O_RDONLY | O_NONBLOCK);
  auto tracer = OpenTracer(pipe.path, 1000);
  ::close(reader);
  Finish(tracer, StartSpan(tracer, "lost", NewTrace(tracer, 7), kStart), kStart);
  Flush(tracer);
  BOOST_TEST(LostSpans(tracer) == 1U);
  reader = ::open(pipe.path.c_str(), O_RDONLY | O_NONBLOCK);
  Finish(tracer, StartSpan(tracer, "kept", NewTrace(tracer, 7), kStart), kStart);
  Flush(tracer);
  auto buffer = std::array<char, 4096>{};
  const auto size = ::read(reader, buffer.data(), buffer.size());
  ::close(reader);
  BOOST_TEST(LostSpans(tracer) == 1U);
  BOOST_REQUIRE(size > 0);
  const auto span = nlohmann::json::parse(buffer.data(), buffer.data() + size);
  BOOST_TEST((span["operation_name"] == "kept"));
}

BOOST_AUTO_TEST_CASE(names_the_file_that_cannot_be_opened) {
  const auto error = base::ErrorOf<TelemetryError>(
      [] { return Tracer::Open({.file = "/proc/no-such-directory/trace"}); });
  BOOST_REQUIRE(error.has_value());
  BOOST_TEST((error->code == TelemetryErrorCode::kTraceFile));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace anvildrum::telemetry
