/// Runs a fuzzer's entry point on each file of a folder. Fails where there is none.
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <vector>

extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int;

namespace {

auto ReadFile(const std::filesystem::path& path) -> std::vector<std::uint8_t> {
  auto file = std::ifstream(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

auto main(int argc, char** argv) -> int {
  if (argc != 2) return EXIT_FAILURE;
  auto count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(argv[1])) {
    const auto bytes = ReadFile(entry.path());
    LLVMFuzzerTestOneInput(bytes.data(), bytes.size());
    ++count;
  }
  std::cout << count << " inputs\n";
  return count > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
