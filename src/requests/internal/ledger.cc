#include "requests/ledger.h"

#include <xxhash.h>

#include <algorithm>

namespace anvildrum::requests {
namespace {

auto ForgetIdentity(Ledger& ledger, const RequestIdentity& identity, std::uint64_t id) -> void {
  auto found = ledger.by_identity.find(identity);
  if (found != ledger.by_identity.end() && found->second == id) ledger.by_identity.erase(found);
}

}  // namespace

auto RequestIdentityHash::operator()(const RequestIdentity& identity) const noexcept
    -> std::size_t {
  auto seed = base::HashFlow(identity.flow) ^ identity.origin.value ^ identity.message_id;
  return XXH3_64bits_withSeed(identity.token.bytes.data(), identity.token.size, seed);
}

auto IsLive(Stage stage) -> bool {
  return stage == Stage::kQueued || stage == Stage::kRunning || stage == Stage::kOffered ||
         stage == Stage::kObserving;
}

auto FindRequest(Ledger& ledger, const RequestIdentity& identity) -> LedgerEntry* {
  auto found = ledger.by_identity.find(identity);
  return found == ledger.by_identity.end() ? nullptr : FindById(ledger, found->second);
}

auto FindById(Ledger& ledger, std::uint64_t id) -> LedgerEntry* {
  auto found = ledger.entries.find(id);
  return found == ledger.entries.end() ? nullptr : &found->second;
}

auto FindByEcho(Ledger& ledger, std::uint64_t issue) -> LedgerEntry* {
  auto found = ledger.by_echo.find(issue);
  return found == ledger.by_echo.end() ? nullptr : FindById(ledger, found->second);
}

auto HasRoom(const Ledger& ledger, std::size_t limit, std::size_t size) -> bool {
  return ledger.bytes + kLedgerEntryBytes + size <= limit;
}

auto InsertRequest(Ledger& ledger, LedgerEntry entry) -> LedgerEntry& {
  ledger.next_id += kIdStep;
  entry.id = ledger.next_id;
  ledger.bytes += kLedgerEntryBytes + entry.request.size() + entry.answer.size();
  ledger.by_identity[entry.identity] = entry.id;
  if (entry.echo_issue != 0) ledger.by_echo[entry.echo_issue] = entry.id;
  auto id = entry.id;
  return ledger.entries.emplace(id, std::move(entry)).first->second;
}

auto AddIdentity(Ledger& ledger, LedgerEntry& entry, const RequestIdentity& identity) -> void {
  auto keeps_old = entry.was_challenged && entry.identity == entry.challenged;
  if (!keeps_old) ForgetIdentity(ledger, entry.identity, entry.id);
  entry.identity = identity;
  ledger.by_identity[identity] = entry.id;
}

auto SetEcho(Ledger& ledger, LedgerEntry& entry, std::uint64_t issue) -> void {
  entry.echo_issue = issue;
  ledger.by_echo[issue] = entry.id;
}

auto SetRequestBytes(Ledger& ledger, LedgerEntry& entry, BytesView bytes) -> void {
  ledger.bytes -= entry.request.size();
  entry.request = Bytes(bytes.begin(), bytes.end());
  ledger.bytes += entry.request.size();
}

auto SetAnswerBytes(Ledger& ledger, LedgerEntry& entry, Bytes bytes) -> void {
  ledger.bytes -= entry.answer.size();
  entry.answer = std::move(bytes);
  ledger.bytes += entry.answer.size();
}

auto KeepUntil(Ledger& ledger, LedgerEntry& entry, base::TimePoint expires) -> void {
  entry.expires = expires;
  auto at = std::upper_bound(
      ledger.expiries.begin(), ledger.expiries.end(), expires,
      [](base::TimePoint time, const auto& expiry) { return time < expiry.first; });
  ledger.expiries.insert(at, {expires, entry.id});
}

auto EraseRequest(Ledger& ledger, std::uint64_t id) -> void {
  auto found = ledger.entries.find(id);
  if (found == ledger.entries.end()) return;
  const auto& entry = found->second;
  ForgetIdentity(ledger, entry.identity, id);
  if (entry.was_challenged) ForgetIdentity(ledger, entry.challenged, id);
  if (entry.echo_issue != 0) ledger.by_echo.erase(entry.echo_issue);
  ledger.bytes -= kLedgerEntryBytes + entry.request.size() + entry.answer.size();
  ledger.entries.erase(found);
}

}  // namespace anvildrum::requests
