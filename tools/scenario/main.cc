#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "scenario/draw.h"
#include "scenario/plan.h"
#include "scenario/run.h"

namespace {

using anvildrum::scenario::Line;

struct Options {
  std::vector<std::string> files;
  std::uint64_t first_seed = 1;
  std::uint64_t last_seed = 1;
  std::uint64_t drawn = 0;
  bool trace = false;
  bool plan = false;  ///< print the statements, run nothing
};

auto ReadOptions(const std::vector<std::string>& arguments) -> Options {
  auto options = Options{};
  for (auto i = std::size_t{0}; i < arguments.size(); ++i) {
    const auto& argument = arguments[i];
    auto has_value = i + 1 < arguments.size();
    if (argument == "--trace") {
      options.trace = true;
    } else if (argument == "--plan") {
      options.plan = true;
    } else if (argument == "--seed" && has_value) {
      options.first_seed = options.last_seed = std::stoull(arguments[++i]);
    } else if (argument == "--random" && has_value) {
      options.drawn = std::stoull(arguments[++i]);
    } else if (argument == "--seeds" && has_value) {
      const auto& range = arguments[++i];
      options.first_seed = std::stoull(range);
      options.last_seed = std::stoull(range.substr(range.find("..") + 2));
    } else {
      options.files.push_back(argument);
    }
  }
  return options;
}

auto ReadFile(const std::string& path) -> std::string {
  auto file = std::ifstream(path);
  auto text = std::ostringstream{};
  text << file.rdbuf();
  return text.str();
}

auto RunOnce(const std::string& file, const std::vector<Line>& lines, std::uint64_t seed,
             bool trace) -> bool {
  auto failed = false;
  auto error = anvildrum::base::ErrorOf<anvildrum::scenario::ScriptError>(
      [&]() -> anvildrum::base::Result<void> {
        auto* out = trace ? &std::cout : nullptr;
        BOOST_LEAF_AUTO(report, anvildrum::scenario::RunScript(lines, seed, out));
        failed = !report.failures.empty() || report.expectations == 0;
        std::cout << file << " seed " << seed << ": " << (failed ? "FAILED" : "ok") << ", "
                  << report.expectations << " expectations, " << report.streams << " streams, "
                  << report.requests << " requests\n";
        for (const auto& failure : report.failures) std::cout << "  " << failure << '\n';
        return {};
      });
  if (error) std::cout << file << ":" << error->line << ": not understood: " << error->text << '\n';
  return !failed && !error;
}

auto RunFile(const Options& options, const std::string& file) -> bool {
  auto lines = std::vector<Line>{};
  auto error = anvildrum::base::ErrorOf<anvildrum::scenario::ScriptError>(
      [&]() -> anvildrum::base::Result<void> {
        BOOST_LEAF_ASSIGN(lines, anvildrum::scenario::ParseScript(ReadFile(file)));
        return {};
      });
  if (error || lines.empty()) {
    std::cout << file << ":" << (error ? error->line : 0) << ": not understood\n";
    return false;
  }
  if (options.plan) {
    anvildrum::scenario::WritePlan(lines, std::cout);
    return true;
  }
  auto good = true;
  for (auto seed = options.first_seed; seed <= options.last_seed; ++seed) {
    good = RunOnce(file, lines, seed, options.trace) && good;
  }
  return good;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto options = ReadOptions(std::vector<std::string>(argv + 1, argv + argc));
  if (options.files.empty() && options.drawn == 0) {
    std::cerr << "anvildrum-scenario FILE... [--seed N] [--seeds A..B] [--trace]\n"
                 "anvildrum-scenario FILE --plan\n"
                 "anvildrum-scenario --random N [--seed FIRST]\n";
    return 2;
  }
  auto good = options.drawn == 0 ||
              anvildrum::scenario::RunDrawn(options.first_seed, options.drawn, std::cout) == 0;
  for (const auto& file : options.files) good = RunFile(options, file) && good;
  return good ? EXIT_SUCCESS : EXIT_FAILURE;
}
