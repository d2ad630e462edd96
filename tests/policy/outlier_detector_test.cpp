// Unit tests of outlier ejection, for a single endpoint and for its failure domains.
#include "policy/outlier_detector.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "policy/endpoint_table.h"

namespace streampick::policy::test {
namespace {

class OutlierDetection : public ::testing::Test {
 protected:
  OutlierDetection() {
    endpoints_.ensure(1);
    for (const ServerId id : {0U, 1U}) {
      endpoints_.join_failure_domains(endpoints_.at(id));
    }
  }
  void fail(Time now, FailureScope scope = FailureScope::endpoint) {
    detector_.record_failure(endpoint(), scope, now);
  }
  Endpoint& endpoint() { return endpoints_.at(0); }
  Endpoint& neighbour() { return endpoints_.at(1); }  // in the same zone and cell

 private:
  EndpointTable endpoints_;
  RandomSource random_{7};
  OutlierDetector detector_{random_};
};

TEST_F(OutlierDetection, ThirdConsecutiveFailure_EjectsForAboutOneSecond) {
  fail(0);
  fail(0);
  EXPECT_FALSE(OutlierDetector::is_ejected(endpoint(), 0));
  fail(0);
  EXPECT_TRUE(OutlierDetector::is_ejected(endpoint(), kSecond * 3 / 4 - 1));
  EXPECT_FALSE(OutlierDetector::is_ejected(endpoint(), kSecond * 5 / 4));
  EXPECT_FALSE(OutlierDetector::is_ejected(neighbour(), 0));
}

TEST_F(OutlierDetection, RepeatedEjections_GrowToEightSecondsAndEndWithAnAnswer) {
  Time now = 0;
  for (int i = 0; i < 20; ++i) {
    fail(now);
    now = std::max(now, endpoint().outlier.ejected_until);
  }
  fail(now);
  const Time last = endpoint().outlier.ejected_until - now;
  EXPECT_GE(last, 6 * kSecond);
  EXPECT_LE(last, 10 * kSecond);
  OutlierDetector::record_success(endpoint(), now);
  EXPECT_FALSE(OutlierDetector::is_ejected(endpoint(), now));
}

TEST_F(OutlierDetection, AfterAnEjection_OneTrialAttemptAtATimeIsAllowed) {
  for (int i = 0; i < 3; ++i) {
    fail(0);
  }
  const Time later = 2 * kSecond;
  EXPECT_FALSE(OutlierDetector::is_ejected(endpoint(), later));
  endpoint().outlier.in_flight = 1;
  EXPECT_TRUE(OutlierDetector::is_ejected(endpoint(), later));
}

TEST_F(OutlierDetection, FailuresOfADomain_EjectItsOtherEndpoints) {
  for (int i = 0; i < 3; ++i) {
    fail(0, FailureScope::failure_domain);
  }
  EXPECT_TRUE(OutlierDetector::is_ejected(neighbour(), 0));
  OutlierDetector::record_success(neighbour(), 0);
  EXPECT_FALSE(OutlierDetector::is_ejected(neighbour(), 0));
  EXPECT_TRUE(OutlierDetector::is_ejected(endpoint(), 0));  // still ejected by its own state
}

}  // namespace
}  // namespace streampick::policy::test
