#include "config/groups.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "json/parse.h"

namespace anvildrum::config {
namespace {

using json::Json;

constexpr auto kServices = 40;
constexpr auto kSteps = 2000;

auto FirstDocument() -> Json {
  auto services = Json::object();
  for (auto i = 0; i < kServices; ++i) services["service-" + std::to_string(i)] = {{"queue", 0}};
  return {{"number", 1}, {"services", services}, {"history", Json::array()}};
}

struct Event {
  std::string key;
  std::optional<std::string> text;  // empty: deleted
};

// The platform: the head with conditional updates, the groups, and the watch's events in order.
struct Store {
  std::string head;
  std::uint64_t revision = 0;  // of the head
  StoredGroups now;
  std::vector<Event> events;

  auto PutGroup(const Group& group) -> void {
    this->now.groups[group.key] = group.text;
    this->events.push_back({group.key, group.text});
  }
  auto PutHead(const std::string& text, std::uint64_t expected) -> bool {
    if (expected != this->revision) return false;
    ++this->revision;
    this->head = text;
    this->now.head = ParseHead(text).value();
    this->events.push_back({"config", text});
    return true;
  }
  auto DeleteGroup(const std::string& key) -> void {
    this->now.groups.erase(key);
    this->events.push_back({key, std::nullopt});
  }
};

struct Writer {
  std::string id;
  std::uint64_t revision = 0;
  std::string document;
  GroupWrites writes;
  std::size_t next = 0;
  std::optional<Head> committed;
  std::vector<std::string> obsolete;
  bool busy = false;
};

struct Reader {
  std::size_t next = 0;
  StoredGroups stored;
  std::uint64_t in_force = 0;
};

struct World {
  explicit World(unsigned seed) : random(seed) {}

  std::mt19937_64 random;
  Store store;
  std::vector<Writer> writers = std::vector<Writer>(3);
  std::vector<Reader> readers = std::vector<Reader>(3);
  std::map<std::uint64_t, std::string> accepted;
  int patches = 0;
};

auto BeginPatch(World& world, Writer& writer) -> void {
  auto document = JoinDocument(world.store.now).value();
  BOOST_REQUIRE(document.has_value());  // the head in force is always complete
  auto changed = Json::parse(*document);
  changed["number"] = changed["number"].get<std::uint64_t>() + 1;
  auto service = "service-" + std::to_string(world.random() % kServices);
  changed["services"][service]["queue"] = world.random() % 3;
  writer = {};
  writer.busy = true;
  writer.id = "p" + std::to_string(++world.patches);
  writer.revision = world.store.revision;
  writer.document = changed.dump();
  writer.writes = SplitDocument(writer.document, world.store.now, writer.id).value();
}

auto Commit(World& world, Writer& writer) -> void {
  writer.busy = world.store.PutHead(writer.writes.head, writer.revision);
  if (!writer.busy) return;
  world.accepted[world.store.now.head.number] = writer.document;
  writer.committed = world.store.now.head;
  writer.writes.head.clear();
}

// Uses the writer's own head, which may be out of date by now.
auto ListObsolete(const World& world, Writer& writer) -> void {
  auto keys = std::vector<std::string>{};
  for (const auto& [key, text] : world.store.now.groups) keys.push_back(key);
  writer.obsolete = ObsoleteGroups(*writer.committed, keys);
  writer.committed.reset();
}

// Makes one call of a writer, which may also stop here for good.
auto Step(World& world, Writer& writer) -> void {
  if (writer.busy && world.random() % 30 == 0) writer.busy = false;
  if (!writer.busy) return BeginPatch(world, writer);
  if (writer.next < writer.writes.groups.size()) {
    return world.store.PutGroup(writer.writes.groups[writer.next++]);
  }
  if (!writer.writes.head.empty()) return Commit(world, writer);
  if (writer.committed) return ListObsolete(world, writer);
  if (writer.obsolete.empty()) {
    writer.busy = false;
    return;
  }
  world.store.DeleteGroup(writer.obsolete.back());
  writer.obsolete.pop_back();
}

auto ApplyEvent(Reader& reader, const Event& event) -> void {
  if (event.key == "config") {
    reader.stored.head = ParseHead(*event.text).value();
  } else if (event.text) {
    reader.stored.groups[event.key] = *event.text;
  } else {
    reader.stored.groups.erase(event.key);
  }
}

auto CheckReader(const World& world, Reader& reader) -> void {
  auto document = JoinDocument(reader.stored).value();
  auto number = reader.stored.head.number;
  BOOST_REQUIRE(number >= reader.in_force);
  if (!document || number == reader.in_force) return;
  reader.in_force = number;
  BOOST_REQUIRE(*document == world.accepted.at(number));
}

auto Step(World& world, Reader& reader) -> void {
  if (world.random() % 50 == 0) {  // lists again
    reader.stored = world.store.now;
    reader.next = world.store.events.size();
  } else if (reader.next < world.store.events.size()) {
    ApplyEvent(reader, world.store.events[reader.next++]);
  }
  CheckReader(world, reader);
}

// Three operators submit patches at once, may die in between and clean up late, while three
// instances follow at different speeds. In any order, an instance may have only accepted documents
// in force, and the last one in the end.
BOOST_AUTO_TEST_CASE(only_accepted_documents_come_into_force_and_the_last_one_does) {
  for (auto seed = 1U; seed <= 12; ++seed) {
    auto world = World(seed);
    auto first = FirstDocument().dump();
    auto writes = SplitDocument(first, {}, "first").value();
    for (const auto& group : writes.groups) world.store.PutGroup(group);
    world.store.PutHead(writes.head, 0);
    world.accepted[1] = first;
    for (auto step = 0; step < kSteps; ++step) {
      if (world.random() % 2 == 0) Step(world, world.writers[world.random() % 3]);
      Step(world, world.readers[world.random() % 3]);
    }
    for (auto& reader : world.readers) {
      while (reader.next < world.store.events.size()) Step(world, reader);
      BOOST_TEST(reader.in_force == world.accepted.rbegin()->first);
    }
    BOOST_TEST(world.accepted.size() > 10U);
  }
}

BOOST_AUTO_TEST_CASE(a_patch_writes_the_groups_that_it_changes_and_the_rest_keep_their_keys) {
  auto document = FirstDocument();
  auto before = StoredGroups{};
  auto all = SplitDocument(document.dump(), before, "p1").value();
  BOOST_TEST(all.groups.size() == 8U);  // seven of services, one of the history
  before.head = ParseHead(all.head).value();
  for (const auto& group : all.groups) before.groups[group.key] = group.text;
  document["number"] = 2;
  document["services"]["service-7"]["queue"] = 5;
  auto one = SplitDocument(document.dump(), before, "p2").value();
  BOOST_TEST(one.groups.size() == 1U);
  auto missing = before;
  missing.head = ParseHead(one.head).value();
  BOOST_TEST(!JoinDocument(missing).value().has_value());
}

BOOST_AUTO_TEST_CASE(an_invalid_head_is_refused) {
  for (const auto* text :
       {"", "[]", R"({"number": 1})", R"({"number": 1, "groups": []})",
        R"({"number": -1, "groups": ["a"]})", R"({"number": 1, "groups": [7]})"}) {
    BOOST_TEST(base::ErrorOf<ConfigurationError>([&] { return ParseHead(text); }).has_value());
  }
}

}  // namespace
}  // namespace anvildrum::config
