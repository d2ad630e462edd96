/// \file
/// Numbers of served, rejected and failed requests by class. Each request is counted once, when its response
/// was written or can no longer be written. No I/O; single-threaded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace streampick::engine {

class RequestMetrics {
 public:
  enum class Result : std::uint8_t {
    none,  ///< not counted: the client had disconnected
    served,
    rejected,
    failed,
  };
  struct ClassCounts {
    std::uint64_t served = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
  };

 private:
  struct Counts {
    std::map<std::string, ClassCounts> classes;
    std::size_t in_flight = 0;
  };

 public:
  /// A request in flight. Its result is counted when this is destroyed.
  class InFlight {
   public:
    InFlight() = default;
    InFlight(InFlight&& other) noexcept
        : counts_(std::move(other.counts_)), class_counts_(other.class_counts_), result_(other.result_) {}
    InFlight& operator=(InFlight&& other) noexcept {
      if (this == &other) return *this;
      count();
      counts_ = std::move(other.counts_);
      class_counts_ = other.class_counts_;
      result_ = other.result_;
      return *this;
    }
    ~InFlight() { count(); }
    void set_result(Result result) { result_ = result; }

   private:
    friend class RequestMetrics;
    InFlight(std::shared_ptr<Counts> counts, ClassCounts* class_counts)
        : counts_(std::move(counts)), class_counts_(class_counts) {
      ++counts_->in_flight;
    }
    void count() {
      if (!counts_) return;
      --counts_->in_flight;
      switch (result_) {
        case Result::none: break;
        case Result::served: ++class_counts_->served; break;
        case Result::rejected: ++class_counts_->rejected; break;
        case Result::failed: ++class_counts_->failed; break;
      }
      counts_.reset();
    }
    std::shared_ptr<Counts> counts_;
    ClassCounts* class_counts_ = nullptr;
    Result result_ = Result::none;
  };

  /// The counts of a class. The pointer stays valid, and the counts are kept when no settings name the class
  /// any more. Beyond kMaxClasses names, new ones share the name "(others)".
  ClassCounts* class_counts(const std::string& name) {
    auto& classes = counts_->classes;
    if (const auto found = classes.find(name); found != classes.end()) return &found->second;
    return &classes[classes.size() < kMaxClasses ? name : "(others)"];
  }
  InFlight start_request(ClassCounts* class_counts) { return {counts_, class_counts}; }
  /// Counts a request that was rejected before it was started.
  static void count_rejected(ClassCounts* class_counts) { ++class_counts->rejected; }

  [[nodiscard]] const std::map<std::string, ClassCounts>& classes() const { return counts_->classes; }
  [[nodiscard]] std::size_t in_flight() const { return counts_->in_flight; }

 private:
  static constexpr std::size_t kMaxClasses = 256;
  std::shared_ptr<Counts> counts_ = std::make_shared<Counts>();
};

}  // namespace streampick::engine
