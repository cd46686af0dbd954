#pragma once

#include <optional>
#include <vector>

#include "requests/coap_message.h"
#include "requests/requests.h"
#include "requests/tests/world.h"

// One core under test, with the output of its last step by receiver.
namespace anvildrum::requests {

inline const auto kFlow =
    base::FlowKey{base::EndpointFromV4(0x0a000001, 40000), base::ServiceIdOf("desk")};
inline const auto kOtherFlow =
    base::FlowKey{base::EndpointFromV4(0x0a000002, 40000), base::ServiceIdOf("desk")};

inline auto TokenOf(std::uint8_t value) -> Token { return {{value}, 1}; }

struct Rig {
  Parameters parameters;
  StatePtr core;
  base::Incarnation incarnation = 0;
  base::TimePoint now{base::hours(1)};
  std::vector<Bytes> to_target;
  std::vector<Bytes> to_client;
  std::vector<OfferHandOn> offers;
  std::vector<AnswerHandOn> offer_answers;
  std::vector<Counter> counts;
};

inline auto Feed(Rig& rig, const Event& event) -> void {
  // The event may refer to buffers of the last step, so these are cleared after the step.
  auto effects = Step(*rig.core, event, rig.now);
  rig.to_target.clear();
  rig.to_client.clear();
  rig.offers.clear();
  rig.offer_answers.clear();
  rig.counts.clear();
  for (auto& effect : effects) {
    if (auto* sent = std::get_if<SendToTarget>(&effect)) rig.to_target.push_back(sent->bytes);
    if (auto* sent = std::get_if<SendToClient>(&effect)) rig.to_client.push_back(sent->bytes);
    if (auto* offer = std::get_if<OfferHandOn>(&effect)) rig.offers.push_back(*offer);
    if (auto* answer = std::get_if<AnswerHandOn>(&effect)) rig.offer_answers.push_back(*answer);
    if (auto* count = std::get_if<Count>(&effect)) rig.counts.push_back(count->counter);
  }
}

/// Replaces the core by a new incarnation of the agent without any state.
inline auto Restart(Rig& rig) -> void {
  auto secret = EchoSecret{};
  secret[0] = static_cast<std::uint8_t>(++rig.incarnation);
  rig.core = RequestsBuilder{}
                 .WithParameters(rig.parameters)
                 .WithIncarnation(rig.incarnation)
                 .WithEchoSecret(secret)
                 .WithSeed(rig.incarnation)
                 .Build();
}

inline auto MakeRig(const Parameters& parameters) -> Rig {
  auto rig = Rig{};
  rig.parameters = parameters;
  Restart(rig);
  return rig;
}

/// Parameters without hand-on.
inline auto WithoutHandOn() -> Parameters {
  auto parameters = Parameters{};
  parameters.retry_share = 0;
  return parameters;
}

inline auto Sent(const Rig& rig) -> Message { return ParseMessage(rig.to_client.at(0)).value(); }
inline auto Forwarded(const Rig& rig) -> Message {
  return ParseMessage(rig.to_target.at(0)).value();
}

inline auto FromClient(Rig& rig, const Bytes& bytes, const base::FlowKey& flow = kFlow) -> void {
  Feed(rig, ClientDatagram{flow, bytes});
}

/// Answers the request as its target would.
inline auto Answer(Rig& rig, const Message& request, std::size_t number,
                   const base::FlowKey& flow = kFlow) -> void {
  auto bytes =
      world::MakeResponse(MessageType::kAcknowledgement, request.message_id, request.token, number);
  Feed(rig, TargetDatagram{flow, bytes});
}

/// Sends a POST without Echo and returns the client's answer to the challenge.
inline auto ChallengedPost(Rig& rig, std::uint16_t message_id, std::size_t number,
                           const base::FlowKey& flow = kFlow) -> Bytes {
  auto token = TokenOf(static_cast<std::uint8_t>(number));
  FromClient(rig, world::MakeRequest(world::kPost, message_id, token, number), flow);
  auto challenge = rig.to_client.at(0);
  auto echo = ParseMessage(challenge).value().echo.value();
  auto next = world::MakeRequest(world::kPost, message_id + 1, token, number);
  return WithEcho(ParseMessage(next).value(), echo);
}

/// Returns a request of world::MakeRequest with a Deadline option before its payload.
inline auto WithDeadline(Bytes request, std::uint32_t milliseconds) -> Bytes {
  auto high = static_cast<std::uint8_t>(milliseconds >> 8);
  auto low = static_cast<std::uint8_t>(milliseconds);
  auto option = Bytes{0xe2, 0xfc, 0xe4, high, low};  // 65020, after Uri-Path; two bytes
  request.insert(request.end() - 5, option.begin(), option.end());
  return request;
}

inline auto Get(std::uint16_t message_id, std::size_t number) -> Bytes {
  return world::MakeRequest(world::kGet, message_id, TokenOf(static_cast<std::uint8_t>(number)),
                            number);
}

}  // namespace anvildrum::requests
