#include <boost/test/unit_test.hpp>
#include <limits>

#include "agent_test_utils.h"
#include "packets/agent.h"

namespace anvildrum::packets::agent_tests {
namespace {

constexpr auto kAnswerBytes = std::uint16_t{1000};

/// One client's flow through an agent.
struct Flow {
  Flow(Agent& agent, std::uint16_t port) : agent(agent), client{kClient.address, port} {}

  auto Send(Packet packet, base::TimePoint now) -> AgentVerdict {
    packet.source = this->client;
    return FromPeer(this->agent, packet, now);
  }

  auto Answer(Packet packet, base::TimePoint now) -> AgentVerdict {
    packet.destination = this->client;
    return FromTarget(this->agent, packet, now);
  }

  /// Opens the flow and sends the first request.
  auto Ask(base::TimePoint now) -> void {
    this->Send(Opening(), now);
    this->Answer(OpeningAnswer(0), now);
    this->AskAgain(now);
  }

  auto AskAgain(base::TimePoint now) -> void {
    this->Send(this->Request(), now);
    this->sent += 100;
  }

  auto Request() const -> Packet {
    auto request = Data();
    request.sequence = this->sent;
    request.acknowledged = 1;
    return request;
  }

  auto Finish(base::TimePoint now, std::uint16_t payload = 0) -> void {
    auto finish = Reply(payload);
    finish.finish = true;
    this->Answer(finish, now);
  }

  auto Reset(base::TimePoint now) -> void {
    auto reset = Reply(0);
    reset.reset = true;
    this->Answer(reset, now);
  }

  Agent& agent;
  End client;
  std::uint32_t sent = 0;
};

auto Later(int ms) -> base::TimePoint { return kStart + milliseconds{ms}; }

auto CountsAt(Agent& agent, base::TimePoint now) -> outlier::Counts {
  const auto report = MakeReport(agent, kBalancer, now);
  return {report.answered, report.failed};
}

/// Returns an agent whose target has answered 40 requests in 30 ms each, ten seconds ago.
auto MakeExperienced() -> Agent {
  auto agent = MakeAgent();
  for (auto i = std::uint16_t{0}; i < 40; ++i) {
    auto flow = Flow{agent, static_cast<std::uint16_t>(100 + i)};
    const auto at = kStart - seconds{10} + i * milliseconds{40};
    flow.Ask(at);
    flow.Answer(Reply(kAnswerBytes), at + milliseconds{30});
    flow.Finish(at + milliseconds{30});
  }
  TakeHeartbeat(agent, MakeHeartbeat(1, 2), kStart);
  agent.stall = {};
  return agent;
}

BOOST_AUTO_TEST_SUITE(request_outcome)

// Guards against counting each packet of an answer, or its parts as short answers.
BOOST_AUTO_TEST_CASE(an_answer_of_many_packets_is_one_request) {
  auto agent = MakeExperienced();
  auto flow = Flow{agent, 1};
  flow.Ask(kStart);
  for (auto i = 0; i < 5; ++i) flow.Answer(Reply(kAnswerBytes / 5), Later(30 + i));
  BOOST_TEST((CountsAt(agent, Later(40)) == outlier::Counts{0, 0}));
  flow.Finish(Later(41));
  flow.Finish(Later(42));
  BOOST_TEST((CountsAt(agent, Later(50)) == outlier::Counts{1, 0}));
}

// Guards against a long download that counts as a short answer since the counter overflows.
BOOST_AUTO_TEST_CASE(an_answer_of_more_than_four_gibibytes_is_no_short_one) {
  auto agent = MakeExperienced();
  auto flow = Flow{agent, 1};
  constexpr auto most = std::numeric_limits<std::uint16_t>::max();
  flow.Ask(kStart);
  // 65,537 packets of 65,535 bytes are 4 GiB less one byte.
  for (auto i = 0; i < 65'537; ++i) flow.Answer(Reply(most), Later(30));
  flow.Finish(Later(31), 11);
  BOOST_TEST((CountsAt(agent, Later(40)) == outlier::Counts{1, 0}));
}

// Guards against a target that answers errors at once and looks idle and fast.
BOOST_AUTO_TEST_CASE(an_answer_far_shorter_than_usual_counts_as_failed) {
  auto agent = MakeExperienced();
  auto flow = Flow{agent, 1};
  flow.Ask(kStart);
  flow.Finish(Later(1), kAnswerBytes / 5);
  BOOST_TEST((CountsAt(agent, Later(2)) == outlier::Counts{1, 1}));
}

// Guards against a healthy target that counts as failing, since the FIN of each answer overtakes
// the answer's data.
BOOST_AUTO_TEST_CASE(an_answer_whose_fin_comes_first_counts_once_by_its_whole_length) {
  auto agent = MakeExperienced();
  auto whole = Flow{agent, 1};
  whole.Ask(kStart);
  auto finish = Reply(0);
  finish.finish = true;
  finish.sequence = 1 + kAnswerBytes;
  whole.Answer(finish, Later(30));
  whole.Answer(Reply(kAnswerBytes), Later(30));
  BOOST_TEST((CountsAt(agent, Later(31)) == outlier::Counts{1, 0}));
  auto error = Flow{agent, 2};
  error.Ask(Later(40));
  finish.sequence = 1 + kAnswerBytes / 5;
  error.Answer(finish, Later(41));
  error.Answer(Reply(kAnswerBytes / 5), Later(41));
  BOOST_TEST((CountsAt(agent, Later(42)) == outlier::Counts{2, 1}));
}

// Guards against answers that are never counted because their flow stays open.
BOOST_AUTO_TEST_CASE(the_next_request_of_a_flow_ends_the_answer_before) {
  auto agent = MakeExperienced();
  auto flow = Flow{agent, 1};
  flow.Ask(kStart);
  flow.Answer(Reply(kAnswerBytes), Later(30));
  flow.AskAgain(Later(60));
  BOOST_TEST((CountsAt(agent, Later(61)) == outlier::Counts{1, 0}));
  flow.Answer(Reply(kAnswerBytes / 5), Later(62));
  flow.AskAgain(Later(70));
  BOOST_TEST((CountsAt(agent, Later(71)) == outlier::Counts{2, 1}));
}

BOOST_AUTO_TEST_CASE(a_reset_by_the_target_counts_as_one_failed_request) {
  auto agent = MakeExperienced();
  auto before_answer = Flow{agent, 1};
  before_answer.Ask(kStart);
  before_answer.Reset(Later(1));
  before_answer.Reset(Later(2));
  auto within_answer = Flow{agent, 2};
  within_answer.Ask(kStart);
  within_answer.Answer(Reply(kAnswerBytes), Later(30));
  within_answer.Reset(Later(31));
  auto of_opening = Flow{agent, 3};
  of_opening.Send(Opening(), kStart);
  of_opening.Reset(Later(1));
  BOOST_TEST((CountsAt(agent, Later(32)) == outlier::Counts{3, 3}));
}

// Guards against a target that counts as failing since it discards idle or ended flows.
BOOST_AUTO_TEST_CASE(a_reset_of_an_idle_or_ended_flow_is_no_failure) {
  auto agent = MakeExperienced();
  auto idle = Flow{agent, 1};
  idle.Send(Opening(), kStart);
  idle.Answer(OpeningAnswer(0), kStart);
  idle.Reset(Later(1));
  auto ended = Flow{agent, 2};
  ended.Ask(kStart);
  ended.Answer(Reply(kAnswerBytes), Later(30));
  ended.Finish(Later(30));
  ended.Reset(Later(31));
  BOOST_TEST((CountsAt(agent, Later(32)) == outlier::Counts{1, 0}));
}

// Guards against a target that hangs: its requests never end.
BOOST_AUTO_TEST_CASE(a_request_without_an_answer_counts_once_after_eight_times_the_usual_time) {
  auto agent = MakeExperienced();
  auto flow = Flow{agent, 1};
  flow.Ask(kStart);
  NoteEvent(agent.stall, Later(100));
  NoteEvent(agent.stall, Later(200));
  DropIdleState(agent, Later(200));
  BOOST_TEST((CountsAt(agent, Later(200)) == outlier::Counts{0, 0}));
  NoteEvent(agent.stall, Later(300));
  DropIdleState(agent, Later(300));
  BOOST_TEST((CountsAt(agent, Later(300)) == outlier::Counts{1, 1}));
  DropIdleState(agent, Later(301));
  flow.Answer(Reply(kAnswerBytes), Later(350));
  flow.Finish(Later(350));
  BOOST_TEST((CountsAt(agent, Later(360)) == outlier::Counts{1, 1}));
}

// Guards against failures of the target that are pauses of the agent: the answers wait unread.
BOOST_AUTO_TEST_CASE(a_request_whose_answer_may_wait_since_a_stall_is_no_failure) {
  auto agent = MakeExperienced();
  auto flow = Flow{agent, 1};
  flow.Ask(kStart);
  DropIdleState(agent, Later(600));
  NoteEvent(agent.stall, Later(601));
  DropIdleState(agent, Later(602));
  BOOST_TEST((CountsAt(agent, Later(603)) == outlier::Counts{0, 0}));
}

// Guards against a target that accepts no opening and therefore has no requests that could fail.
BOOST_AUTO_TEST_CASE(an_opening_without_an_answer_counts_as_failed) {
  auto agent = MakeExperienced();
  Flow{agent, 1}.Send(Opening(), kStart);
  NoteEvent(agent.stall, Later(100));
  BOOST_TEST((CountsAt(agent, Later(140)) == outlier::Counts{0, 0}));
  BOOST_TEST((CountsAt(agent, Later(160)) == outlier::Counts{1, 1}));
}

// Guards against blaming the target for a client that does not continue.
BOOST_AUTO_TEST_CASE(an_opening_that_its_client_does_not_continue_is_no_failure) {
  auto agent = MakeExperienced();
  auto flow = Flow{agent, 1};
  flow.Send(Opening(), kStart);
  flow.Answer(OpeningAnswer(0), Later(1));
  NoteEvent(agent.stall, Later(100));
  BOOST_TEST((CountsAt(agent, Later(160)) == outlier::Counts{0, 0}));
}

BOOST_AUTO_TEST_CASE(a_close_without_an_answer_counts_as_failed) {
  auto agent = MakeExperienced();
  auto flow = Flow{agent, 1};
  flow.Ask(kStart);
  flow.Finish(Later(1));
  flow.Finish(Later(2));
  BOOST_TEST((CountsAt(agent, Later(3)) == outlier::Counts{1, 1}));
}

// Guards against blaming the target for clients that leave early.
BOOST_AUTO_TEST_CASE(a_client_that_leaves_early_is_no_failure_of_the_target) {
  auto agent = MakeExperienced();
  auto reset = Data();
  reset.payload = 0;
  reset.reset = true;
  auto unanswered = Flow{agent, 1};
  unanswered.Ask(kStart);
  unanswered.Send(reset, Later(10));
  auto partly = Flow{agent, 2};
  partly.Ask(kStart);
  partly.Answer(Reply(kAnswerBytes / 10), Later(30));
  partly.Send(reset, Later(31));
  auto served = Flow{agent, 3};
  served.Ask(kStart);
  served.Answer(Reply(kAnswerBytes), Later(32));
  served.Send(reset, Later(33));
  BOOST_TEST((CountsAt(agent, Later(40)) == outlier::Counts{1, 0}));
}

BOOST_AUTO_TEST_CASE(openings_and_requests_that_the_target_returns_count_as_failed) {
  auto agent = MakeExperienced();
  auto opening = Flow{agent, 1};
  opening.Send(Opening(), kStart);
  auto packet = Returned(Opening());
  packet.source = opening.client;
  FromTarget(agent, packet, Later(1));
  auto request = Flow{agent, 2};
  request.Ask(kStart);
  packet = Returned(request.Request());
  packet.source = request.client;
  FromTarget(agent, packet, Later(1));
  FromTarget(agent, packet, Later(2));
  BOOST_TEST((CountsAt(agent, Later(3)) == outlier::Counts{2, 2}));
}

// Guards against blaming a target for packets of flows that it does not hold, which balancers
// without hints send to it.
BOOST_AUTO_TEST_CASE(a_returned_packet_of_an_unknown_flow_is_no_failure) {
  auto agent = MakeExperienced();
  auto flow = Flow{agent, 1};
  flow.AskAgain(kStart);
  auto packet = Returned(Data());
  packet.source = flow.client;
  FromTarget(agent, packet, Later(1));
  BOOST_TEST((CountsAt(agent, Later(2)) == outlier::Counts{0, 0}));
}

// Guards against a loaded target that seems slow because its requests wait.
BOOST_AUTO_TEST_CASE(the_reported_service_time_excludes_the_wait_for_a_slot) {
  auto agent = MakeAgent();
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).service_time == base::Duration{}));
  auto flows = std::vector<Flow>{};
  for (auto port = std::uint16_t{1}; port <= 8; ++port) {
    flows.emplace_back(agent, port).Ask(kStart);
  }
  // The target runs four requests of 30 ms at a time. The last one waits for four others.
  for (auto i = std::size_t{0}; i < flows.size(); ++i) {
    flows[i].Answer(Reply(kAnswerBytes), Later(i < 4 ? 30 : 60));
  }
  const auto reported = MakeReport(agent, kBalancer, Later(60)).service_time;
  BOOST_TEST((reported > milliseconds{28} && reported < milliseconds{32}));
}

// Guards against judging a restarted target by the failures of the process before.
BOOST_AUTO_TEST_CASE(a_new_incarnation_begins_without_failures) {
  auto agent = MakeExperienced();
  auto flow = Flow{agent, 1};
  flow.Ask(kStart);
  flow.Reset(Later(1));
  BOOST_TEST(CountsAt(agent, Later(2)).failed == 1U);
  TakeHeartbeat(agent, MakeHeartbeat(2, 0), Later(3));
  BOOST_TEST((CountsAt(agent, Later(4)) == outlier::Counts{0, 0}));
  BOOST_TEST((MakeReport(agent, kBalancer, Later(4)).service_time == base::Duration{}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::packets::agent_tests
