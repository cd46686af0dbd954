#pragma once

#include <string>
#include <vector>

namespace anvildrum::capacity {

/// A default of a policy in the code that the page's rows use.
struct Constant {
  std::string name;
  double value = 0;
  std::string source;
};

auto PolicyConstants() -> std::vector<Constant>;

}  // namespace anvildrum::capacity
