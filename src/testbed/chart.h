// Draws a line chart as SVG: named lines that share one x axis.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace streampick::testbed {

struct Line {
  std::string name;
  std::vector<std::pair<double, double>> points;
};

std::string line_chart(const std::string& title, const std::string& x, const std::string& y,
                       const std::vector<Line>& lines);

}  // namespace streampick::testbed
