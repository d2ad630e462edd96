// A search over all orders of a model's steps, up to a depth. A state that was reached before with as many
// steps left is not entered again.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

namespace streampick::test {

// World: copied for each step; `broken` says which rule a state breaks, fingerprint() what makes it another
// state.
template <typename World>
class ModelSearch {
 public:
  using Step = std::function<void(World&)>;
  using Take = std::function<void(const Step&)>;
  // Calls `take` with each step that may be next.
  std::function<void(const World&, const Take& take)> steps;
  // From each so many states faults end; returns what is wrong then.
  std::size_t each = 20;
  std::function<std::string(World)> faults_end;

  std::size_t states = 0, ended = 0;
  std::string broken;  // the first that was found

  void run(const World& world, int left) {
    steps(world, [&](const Step& step) {
      if (!broken.empty()) return;
      World made = world;
      step(made);
      auto [seen, first] = seen_.try_emplace(made.fingerprint(), 0);
      if (!first && seen->second >= left) return;
      seen->second = left;
      if (first) look(made);
      if (left > 1) run(made, left - 1);
    });
  }

 private:
  void look(const World& made) {
    ++states;
    broken = made.broken;
    if (!broken.empty() || states % each != 0) return;
    ++ended;
    broken = faults_end(made);
  }
  std::unordered_map<std::uint64_t, int> seen_;
};

}  // namespace streampick::test
