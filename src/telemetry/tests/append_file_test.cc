#include "telemetry/internal/append_file.h"

#include <sys/resource.h>

#include <boost/test/unit_test.hpp>
#include <csignal>

#include "temporary_file.h"

namespace anvildrum::telemetry {
namespace {

/// Lowers this process's own limit of file sizes while it lives: the way to a half-written line.
class FileSizeLimit {
 public:
  explicit FileSizeLimit(rlim_t bytes) {
    std::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &this->before);
    const auto lowered = rlimit{.rlim_cur = bytes, .rlim_max = this->before.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &lowered);
  }
  FileSizeLimit(const FileSizeLimit&) = delete;
  auto operator=(const FileSizeLimit&) -> FileSizeLimit& = delete;
  ~FileSizeLimit() { ::setrlimit(RLIMIT_FSIZE, &this->before); }

 private:
  rlimit before{};
};

}  // namespace

// The file system takes half of a line and is full; later there is room again. A reader that goes
// line by line must get the next line whole.
BOOST_AUTO_TEST_CASE(a_torn_line_does_not_spoil_the_next) {
  auto target = TemporaryFile{};
  auto file = AppendFile{target.path};
  BOOST_TEST(file.Append("first\n"));
  {
    const auto limit = FileSizeLimit{9};
    BOOST_TEST(!file.Append("second\n"));
    BOOST_TEST(!file.Append("third\n"));
  }
  BOOST_TEST(file.Append("fourth\n"));
  BOOST_TEST(target.Lines() == (std::vector<std::string>{"first", "sec", "fourth"}));
}

}  // namespace anvildrum::telemetry
