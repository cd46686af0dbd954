#include "platform_standin/store.h"

#include <algorithm>
#include <utility>

namespace anvildrum::platform_standin {
namespace {

auto Holds(const Condition& condition, const std::optional<Entry>& current) -> bool {
  if (std::holds_alternative<IfAbsent>(condition)) return !current;
  if (const auto* match = std::get_if<IfRevision>(&condition)) {
    return current && current->revision == match->revision;
  }
  return true;
}

auto Find(const Store& store, std::string_view key) -> std::optional<Entry> {
  auto found = store.objects.find(key);
  if (found == store.objects.end()) return std::nullopt;
  return found->second;
}

auto Record(Store& store, Change change) -> void {
  store.history.push_back(std::move(change));
  while (store.history.size() > store.history_limit) {
    store.forgotten_until = store.history.front().revision;
    store.history.pop_front();
  }
}

}  // namespace

auto Put(Store& store, std::string_view key, std::string value, const Condition& condition)
    -> WriteResult {
  if (value.size() > kMaxValueSize) return WriteResult::kTooLarge;
  auto before = Find(store, key);
  if (!Holds(condition, before)) return WriteResult::kConditionFailed;
  auto after = Entry{++store.revision, std::make_shared<const std::string>(std::move(value))};
  store.objects.insert_or_assign(std::string(key), after);
  Record(store, Change{store.revision, std::string(key), before, after});
  return before ? WriteResult::kReplaced : WriteResult::kCreated;
}

auto Delete(Store& store, std::string_view key, const Condition& condition) -> WriteResult {
  auto before = Find(store, key);
  if (!before) return WriteResult::kNotFound;
  if (!Holds(condition, before)) return WriteResult::kConditionFailed;
  store.objects.erase(store.objects.find(key));
  Record(store, Change{++store.revision, std::string(key), before, std::nullopt});
  return WriteResult::kDeleted;
}

auto ObjectsAt(const Store& store, std::uint64_t revision) -> ObjectMap {
  auto objects = store.objects;
  for (auto change = store.history.rbegin(); change != store.history.rend(); ++change) {
    if (change->revision <= revision) break;
    if (change->before) {
      objects.insert_or_assign(change->key, *change->before);
    } else {
      objects.erase(change->key);
    }
  }
  return objects;
}

auto ChangesAfter(const Store& store, std::string_view prefix, std::uint64_t after)
    -> std::optional<std::vector<Change>> {
  if (after < store.forgotten_until) return std::nullopt;
  auto newer = [](std::uint64_t revision, const Change& change) {
    return revision < change.revision;
  };
  auto first = std::upper_bound(store.history.begin(), store.history.end(), after, newer);
  auto changes = std::vector<Change>{};
  auto matches = [prefix](const Change& change) { return change.key.starts_with(prefix); };
  std::copy_if(first, store.history.end(), std::back_inserter(changes), matches);
  return changes;
}

}  // namespace anvildrum::platform_standin
