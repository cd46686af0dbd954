#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "packetd/agent_node.h"
#include "packetd/record.h"
#include "telemetry/log.h"

// The part of AgentNode that serves the target beside it: heartbeats, leave notices and readiness.
namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr auto kOk = 200U;
constexpr auto kBadRequest = 400U;
constexpr auto kConflict = 409U;

auto JsonReply(unsigned status) -> net::OperatorResponse {
  return {.status = status, .content_type = "application/json", .body = "{}"};
}

auto PlainReply(unsigned status) -> net::OperatorResponse {
  auto response = net::OperatorResponse{};
  response.status = status;
  return response;
}

// A target with a higher heartbeat sequence number started before this process, so an earlier
// process has written the record.
constexpr auto kMaxStartupHeartbeats = std::uint64_t{2};

}  // namespace

auto AgentNode::OpenHeartbeats() -> base::Result<void> {
  auto readiness = net::OperatorPort::Open(this->io, {.local = this->settings.readiness});
  if (!readiness) return readiness.error();
  this->readiness_port = std::move(readiness.value());
  this->readiness_port->Route("GET", std::string(this->adapter.readiness_path),
                              [](const net::OperatorRequest&) { return PlainReply(kOk); });
  auto heartbeats = net::OperatorPort::Open(this->io, {.local = this->settings.heartbeats});
  if (!heartbeats) return heartbeats.error();
  this->heartbeat_port = std::move(heartbeats.value());
  const auto path = std::string(this->adapter.heartbeat_path);
  this->heartbeat_port->Route("PUT", path, [this](const net::OperatorRequest& request) {
    return this->OnHeartbeat(request);
  });
  this->heartbeat_port->Route(
      "GET", this->configuration.Path(),
      [this](const net::OperatorRequest&) { return this->configuration.Answer(); });
  this->heartbeat_port->Route("DELETE", path, [this](const net::OperatorRequest& request) {
    return this->OnLeave(request);
  });
  return {};
}

auto AgentNode::TargetIdOf(std::string_view path) const -> std::string_view {
  return path.substr(std::min(path.size(), this->adapter.heartbeat_path.size()));
}

auto AgentNode::OnHeartbeat(const net::OperatorRequest& request) -> net::OperatorResponse {
  const auto heartbeat =
      this->adapter.decode_heartbeat(this->TargetIdOf(request.path), request.body);
  if (!heartbeat) {
    ++this->malformed;
    this->LogInvalidInput("heartbeat_unreadable", request.path);
    return JsonReply(kBadRequest);
  }
  auto outcome = packets::TakeHeartbeat(this->core, *heartbeat, base::Now());
  if (outcome == packets::HeartbeatOutcome::kOtherService) {
    this->reload();
    outcome = packets::TakeHeartbeat(this->core, *heartbeat, base::Now());
  }
  // A stale heartbeat is not acknowledged, because a target assumes that a departure is known once
  // it is acknowledged.
  if (outcome == packets::HeartbeatOutcome::kStale) {
    this->LogInvalidInput("heartbeat_not_believed", request.path);
    return JsonReply(kConflict);
  }
  this->target_watch.OnTargetAlive();
  if (outcome != packets::HeartbeatOutcome::kChanged || this->core.stopping) return JsonReply(kOk);
  this->told_state = packets::ReportedState(this->core, base::Now());
  Log(LogLevel::kInfo, "target_state",
      {{"target", heartbeat->incarnation.id},
       {"started_ms", heartbeat->incarnation.started_ms.value_or(0)},
       {"sequence", heartbeat->sequence},
       {"draining", heartbeat->draining}});
  this->ReportToAll();
  this->AnnounceToSeeds();
  if (heartbeat->sequence > kMaxStartupHeartbeats) this->registrar.ExpectObject();
  this->registrar.Keep(this->RecordOfTarget());
  return JsonReply(kOk);
}

auto AgentNode::RecordOfTarget() const -> std::string {
  return EncodeRecord({.agent = this->core.own,
                       .service = this->settings.agent->service,
                       .target = this->core.target.last.incarnation});
}

auto AgentNode::OnRecordKept(std::string_view value, bool written) -> void {
  if (value != this->RecordOfTarget()) return;
  const auto& incarnation = this->core.target.last.incarnation;
  packets::NoteRecorded(this->core, incarnation, written);
  Log(LogLevel::kInfo, "target_recorded",
      {{"target", incarnation.id}, {"first", this->core.target.first_to_record}});
  this->ReportChange(base::Now());
}

auto AgentNode::OnLeave(const net::OperatorRequest& request) -> net::OperatorResponse {
  const auto id = this->adapter.target_id(this->TargetIdOf(request.path));
  if (!packets::TakeLeave(this->core, id, base::Now())) return JsonReply(kOk);
  const auto doubtful = this->core.target.leave_doubtful;
  Log(LogLevel::kInfo, "target_left", {{"target", id}, {"doubtful", doubtful}});
  this->ReportToAll();
  if (!doubtful) this->registrar.Remove();
  return JsonReply(kOk);
}

// Removes the record after a doubtful leave once the target has stayed silent, which shows that the
// leave was genuine.
auto AgentNode::RemoveRecordOfSilent(base::TimePoint now) -> void {
  if (!this->core.target.leave_doubtful) return;
  if (packets::StateOf(this->core, now) != packets::TargetState::kAbsent) return;
  this->registrar.Remove();
}

}  // namespace anvildrum::packetd
